package org.arbutusstack.routing;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.wire.frame.StrikeFrame;

/**
 * Record that a request with some content was in flight, and had not begun its answer, when an engine was lost.
 *
 * @param key the key of the content: the digest of a whole request, or the identifier of a part of its prompt
 * @param incident the identifier of the loss, the same in all processes that it is reported to
 * @param sentAtNanos when the request was sent to the engine, in nanoseconds of the clock of this process
 * @param struckAtNanos when the engine was lost, in nanoseconds of the clock of this process
 * @param expiresAtNanos when the strike expires, in nanoseconds of the clock of this process
 */
public record Strike(String key, String incident, long sentAtNanos, long struckAtNanos, long expiresAtNanos) {

    /** Time within which the losses of engines that one cause ends together are noticed, in nanoseconds. */
    private static final long SIMULTANEOUS_LOSS_NANOS = 20_000_000;

    /** Validate the strike. */
    public Strike {
        Assert.hasText(key, "key");
        Assert.hasText(incident, "incident");
    }

    /**
     * Return whether the request of this strike was sent after the loss of another strike.
     *
     * @param earlier the other strike
     * @return whether the request was not in flight yet
     */
    boolean isSentAfter(Strike earlier) {
        return sentAtNanos - earlier.struckAtNanos > 0;
    }

    /**
     * Return whether the loss of this strike was not the one of another strike, so that both together say more about
     * the content than one does.
     *
     * <p>Copies of one request that are in flight at several engines are rare, so that losses a while apart suffice.
     * Content that many requests share is always in flight somewhere; its request must have been sent after the other
     * loss.
     *
     * @param earlier the other strike
     * @return whether the losses count separately
     */
    boolean isSeparateFrom(Strike earlier) {
        boolean apart = struckAtNanos - earlier.struckAtNanos >= SIMULTANEOUS_LOSS_NANOS;
        return isSentAfter(earlier) || apart && ContentKeys.isOfOneRequest(key);
    }

    /**
     * Create the strike that another process reports.
     *
     * @param frame the report, whose times are relative to its arrival
     * @param clock the clock of this process
     * @return the strike
     */
    public static Strike of(StrikeFrame frame, Clock clock) {
        return new Strike(
                frame.key(),
                frame.incident(),
                clock.deadlineNanos(-frame.sentAgoMillis()),
                clock.deadlineNanos(-frame.struckAgoMillis()),
                clock.deadlineNanos(frame.leftMillis()));
    }

    /**
     * Return this strike with an earlier expiry, if it is not early enough.
     *
     * @param latestNanos the latest instant of expiry
     * @return a strike that expires then or before
     */
    public Strike expiringBy(long latestNanos) {
        return expiresAtNanos - latestNanos <= 0
                ? this
                : new Strike(key, incident, sentAtNanos, struckAtNanos, latestNanos);
    }

    /**
     * Return the report of this strike to another process.
     *
     * @param clock the clock of this process
     * @return the report as of now
     */
    public StrikeFrame toFrame(Clock clock) {
        return new StrikeFrame(
                key,
                incident,
                true,
                clock.millisUntil(expiresAtNanos),
                clock.millisSince(sentAtNanos),
                clock.millisSince(struckAtNanos));
    }
}
