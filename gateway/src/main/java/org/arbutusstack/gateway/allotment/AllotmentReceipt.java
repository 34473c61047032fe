package org.arbutusstack.gateway.allotment;

/**
 * Tokens that an admitted request has taken, so that they can be given back if it does not run.
 *
 * @param team the name of the team
 * @param tokens the units taken
 * @param expiresAtNanos when the units would have expired unused, in elapsed time
 */
public record AllotmentReceipt(String team, double tokens, long expiresAtNanos) {}
