package org.arbutusstack.gateway.request;

/**
 * Counts the requests in hand for one model.
 *
 * @param inHand all of them
 * @param waiting those that wait for a runner that holds it
 */
public record ModelUse(int inHand, int waiting) {

    ModelUse plus(ModelUse other) {
        return new ModelUse(inHand + other.inHand, waiting + other.waiting);
    }
}
