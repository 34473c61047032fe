package org.arbutusstack.model.request;

import java.time.Duration;
import org.arbutusstack.kernel.Assert;

/**
 * The refusal of a request, which states accurately whether the request may have run.
 *
 * @param kind what is known about the execution of the request
 * @param reason the reason of the refusal
 * @param detail a sentence for the caller that describes the reason
 * @param retryAfterSeconds the time in seconds after which a retry may succeed, zero if that is not known
 */
public record Refusal(RefusalKind kind, RefusalReason reason, String detail, int retryAfterSeconds) {

    private static final long MILLIS_BELOW_SECOND = 999;

    /** Create a refusal; kind, reason and detail must not be {@code null}. */
    public Refusal {
        Assert.notNull(kind, "kind");
        Assert.notNull(reason, "reason");
        Assert.notNull(detail, "detail");
    }

    /**
     * Create the refusal of a request that never ran, with a retry after one second.
     *
     * @param reason the reason of the refusal
     * @param detail a sentence for the caller that describes the reason
     * @return the refusal
     */
    public static Refusal notRun(RefusalReason reason, String detail) {
        return new Refusal(RefusalKind.NOT_RUN, reason, detail, 1);
    }

    /**
     * Create the refusal of a request that never ran, with the time after which a retry may succeed.
     *
     * @param reason the reason of the refusal
     * @param detail a sentence for the caller that describes the reason
     * @param retryAfter the time after which a retry may succeed; rounded up to seconds, at least one
     * @return the refusal
     */
    public static Refusal notRun(RefusalReason reason, String detail, Duration retryAfter) {
        int seconds =
                (int) Math.max(1, retryAfter.plusMillis(MILLIS_BELOW_SECOND).toSeconds());
        return new Refusal(RefusalKind.NOT_RUN, reason, detail, seconds);
    }

    /**
     * Create the refusal of a request that may have run.
     *
     * @param reason the reason of the refusal
     * @param detail a sentence for the caller that describes the reason
     * @return the refusal
     */
    public static Refusal outcomeUnknown(RefusalReason reason, String detail) {
        return new Refusal(RefusalKind.OUTCOME_UNKNOWN, reason, detail, 0);
    }

    /**
     * Create the refusal of a request that is invalid and would be refused again.
     *
     * @param reason the reason of the refusal
     * @param detail a sentence for the caller that describes the reason
     * @return the refusal
     */
    public static Refusal rejected(RefusalReason reason, String detail) {
        return new Refusal(RefusalKind.REJECTED, reason, detail, 0);
    }

    /**
     * Return the refusal that applies to all attempts of a request: if an earlier attempt may have run, the outcome is
     * unknown even if the last attempt did not run.
     *
     * @param maybeRan whether an earlier attempt may have run
     * @return this refusal, or one of kind {@link RefusalKind#OUTCOME_UNKNOWN}
     */
    public Refusal afterAttempts(boolean maybeRan) {
        return kind == RefusalKind.NOT_RUN && maybeRan
                ? outcomeUnknown(reason, detail + "; an earlier attempt may have run")
                : this;
    }
}
