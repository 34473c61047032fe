package org.arbutusstack.model.request;

import java.time.Duration;
import org.arbutusstack.kernel.Assert;

/**
 * Tells a caller truthfully that its request was not answered.
 *
 * @param kind what the caller may conclude
 * @param reason why
 * @param detail one sentence for people
 * @param retryAfterSeconds when another try may succeed, zero where that is not known
 */
public record Refusal(RefusalKind kind, RefusalReason reason, String detail, int retryAfterSeconds) {

    private static final long MILLIS_BELOW_SECOND = 999;

    /** Checks the refusal. */
    public Refusal {
        Assert.notNull(kind, "kind");
        Assert.notNull(reason, "reason");
        Assert.notNull(detail, "detail");
    }

    /**
     * Refuses a request that never ran.
     *
     * @param reason why
     * @param detail one sentence for people
     * @return the refusal
     */
    public static Refusal notRun(RefusalReason reason, String detail) {
        return new Refusal(RefusalKind.NOT_RUN, reason, detail, 1);
    }

    /**
     * Refuses a request that never ran, and tells when another try may succeed.
     *
     * @param reason why
     * @param detail one sentence for people
     * @param retryAfter the time after which another try may succeed, rounded up to seconds
     * @return the refusal
     */
    public static Refusal notRun(RefusalReason reason, String detail, Duration retryAfter) {
        int seconds =
                (int) Math.max(1, retryAfter.plusMillis(MILLIS_BELOW_SECOND).toSeconds());
        return new Refusal(RefusalKind.NOT_RUN, reason, detail, seconds);
    }

    /**
     * Refuses a request that may have run.
     *
     * @param reason why
     * @param detail one sentence for people
     * @return the refusal
     */
    public static Refusal outcomeUnknown(RefusalReason reason, String detail) {
        return new Refusal(RefusalKind.OUTCOME_UNKNOWN, reason, detail, 0);
    }

    /**
     * Refuses a request that is wrong.
     *
     * @param reason why
     * @param detail one sentence for people
     * @return the refusal
     */
    public static Refusal rejected(RefusalReason reason, String detail) {
        return new Refusal(RefusalKind.REJECTED, reason, detail, 0);
    }

    /**
     * Takes back that a request did not run if an earlier attempt may have run.
     *
     * @param maybeRan whether one may have
     * @return what is true of all attempts
     */
    public Refusal afterAttempts(boolean maybeRan) {
        return kind == RefusalKind.NOT_RUN && maybeRan
                ? outcomeUnknown(reason, detail + "; an earlier attempt may have run")
                : this;
    }
}
