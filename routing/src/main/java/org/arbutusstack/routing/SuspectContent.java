package org.arbutusstack.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.StrikeFrame;

/**
 * Strikes of whole requests, which run alone once they are suspect, and of the messages that they share with other
 * requests, which do not. Does no I/O. Not thread-safe.
 */
public final class SuspectContent {

    private final StrikeRegistry requests;

    private final StrikeRegistry messages;

    /**
     * Create an empty registry.
     *
     * @param maxKeys the maximum number of requests, and of messages
     */
    public SuspectContent(int maxKeys) {
        this.requests = new StrikeRegistry(maxKeys, StrikePolicy.ISOLATED_REQUEST);
        this.messages = new StrikeRegistry(maxKeys, StrikePolicy.SHARED_CONTENT);
    }

    private StrikeRegistry registryOf(String key) {
        return PromptMessages.isKey(key) ? messages : requests;
    }

    /**
     * Return the strikes of whole requests.
     *
     * @return the registry by the digest of the request
     */
    public StrikeRegistry requests() {
        return requests;
    }

    /**
     * Return whether nothing has a strike.
     *
     * @return {@code true} if no request is suspect or refused
     */
    public boolean isEmpty() {
        return requests.isEmpty() && messages.isEmpty();
    }

    /**
     * Add a strike.
     *
     * @param strike the strike of a request or of a message
     * @return {@code false} if the strike was known or is not kept
     */
    public boolean add(Strike strike) {
        return registryOf(strike.key()).add(strike);
    }

    /**
     * Apply the retraction of strikes.
     *
     * @param frame the retraction
     * @return whether strikes were withdrawn
     */
    public boolean retract(StrikeFrame frame) {
        if (frame.incident().isEmpty()) {
            return !registryOf(frame.key()).clear(frame.key()).isEmpty();
        }
        return registryOf(frame.key()).withdraw(frame.key(), frame.incident());
    }

    /**
     * Find the rule that refuses a request because of the messages that it shares with others.
     *
     * @param body the body of the request
     * @param nowNanos the current time of the process clock, in nanoseconds
     * @return the rule; empty if there is none
     */
    public Optional<QuarantineRule> messageRule(byte[] body, long nowNanos) {
        List<QuarantineRule> rules = messages.isEmpty() ? List.of() : messages.rules(nowNanos);
        if (rules.isEmpty()) {
            return Optional.empty();
        }
        List<String> keys = PromptMessages.keysOf(body);
        return rules.stream().filter(rule -> rule.refuses(keys)).findFirst();
    }

    /**
     * Withdraw the strikes of the messages of a request whose answer has begun.
     *
     * @param body the body of the request
     * @return the retractions for the other processes
     */
    public List<StrikeFrame> answerBegun(byte[] body) {
        List<StrikeFrame> retractions = new ArrayList<>();
        if (!messages.isEmpty()) {
            for (String key : PromptMessages.keysOf(body)) {
                if (!messages.clear(key).isEmpty()) {
                    retractions.add(StrikeFrame.retraction(key, ""));
                }
            }
        }
        return retractions;
    }

    /**
     * Return all strikes as reports to a process that has just connected.
     *
     * @param clock the clock of this process
     * @return the strikes that have not expired
     */
    public List<StrikeFrame> frames(Clock clock) {
        List<Strike> all = new ArrayList<>(requests.all(clock.nowNanos()));
        all.addAll(messages.all(clock.nowNanos()));
        return all.stream().map(strike -> strike.toFrame(clock)).toList();
    }
}
