package org.arbutusstack.gateway.request;

import java.util.Map;
import org.arbutusstack.gateway.config.Route;

/**
 * Holds one request of a caller as it was read. Immutable.
 *
 * @param id the caller's name for this attempt
 * @param method the method
 * @param target path and query, byte for byte as the caller sent them
 * @param headers the headers that go on to a runner
 * @param body the body; not copied
 * @param route the route
 * @param service the service chosen for it
 * @param model the model; empty for a plain service
 * @param adapter the adapter; empty for none
 * @param promptTokens the tokens of the prompt, zero if not said
 * @param outputTokens the most tokens of the answer, zero if not said
 * @param prefixHash names the part of the prompt that it shares with its session; zero for none
 * @param arrivedNanos when it was read
 * @param deadlineNanos when the caller, or the route, gives up
 */
public record InboundRequest(
        String id,
        String method,
        String target,
        Map<String, String> headers,
        byte[] body,
        Route route,
        String service,
        String model,
        String adapter,
        int promptTokens,
        int outputTokens,
        long prefixHash,
        long arrivedNanos,
        long deadlineNanos) {

    /** Copies the map. */
    public InboundRequest {
        headers = Map.copyOf(headers);
    }

    /**
     * Tells what a runner has to read for the request.
     *
     * @return the tokens of the prompt, at least one if it is for a model: callers need not say them; zero otherwise
     */
    public int tokensToRead() {
        return needsModel() ? Math.max(1, promptTokens) : 0;
    }

    /**
     * Tells whether the request is for a model.
     *
     * @return whether it names one
     */
    public boolean needsModel() {
        return !model.isEmpty();
    }
}
