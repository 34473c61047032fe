package org.arbutusstack.gateway.request;

import java.util.List;
import java.util.Optional;
import org.arbutusstack.gateway.quarantine.ContentQuarantine;
import org.arbutusstack.gateway.quarantine.CrashMonitor;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.routing.ContentKeys;
import org.arbutusstack.routing.QuarantineRule;

/**
 * Applies the quarantine for content that crashes runners to requests, and reports to it how their attempts went.
 * Confined to the entry's event loop.
 */
final class RequestQuarantine {

    /** Limit on the bodies that are digested while no content is suspect. */
    private static final int MAX_REMEMBERED_BODY_BYTES = 16_384;

    private final ContentQuarantine quarantine;

    private final CrashMonitor crashMonitor;

    private final Clock clock;

    private final LossHistory losses;

    RequestQuarantine(ContentQuarantine quarantine, CrashMonitor crashMonitor, Clock clock, LossHistory losses) {
        this.quarantine = Assert.notNull(quarantine, "quarantine");
        this.crashMonitor = Assert.notNull(crashMonitor, "crashMonitor");
        this.clock = Assert.notNull(clock, "clock");
        this.losses = Assert.notNull(losses, "losses");
    }

    /** Find the rule that keeps a request from runners, or nothing if it may be sent. */
    Optional<QuarantineRule> ruleFor(ActiveRequest active) {
        if (!quarantine.isWatching() || active.isProbe()) {
            return Optional.empty();
        }
        Optional<QuarantineRule> rule = quarantine.ruleFor(active.allKeys());
        if (rule.isPresent() && quarantine.tryProbe(rule.get())) {
            active.markProbe();
            return Optional.empty();
        }
        return rule;
    }

    /** Return whether a request is sent; it waits while another shows whether their common content is harmful. */
    boolean maySend(ActiveRequest active) {
        return !quarantine.isWatching() || active.isProbe() || quarantine.maySend(active.allKeys());
    }

    /** Create the refusal by a rule. It says "not run" rather than "rejected", since the request itself is proper. */
    Refusal refusalBy(QuarantineRule rule) {
        return Refusal.notRun(RefusalReason.QUARANTINED, rule.describe(clock));
    }

    /**
     * Record an attempt whose connection broke. If the answer had begun, the loss says nothing about the parts of the
     * prompt, which many requests share, but still something about the answer.
     */
    void attemptLost(ActiveRequest active, CurrentAttempt attempt) {
        losses.recordLost(active);
        boolean begun = active.isOpened() || attempt.isBegun();
        List<String> keys = begun ? List.of(active.answerKey()) : active.allKeys();
        long sentAgoMillis = clock.millisSince(attempt.sentAtNanos());
        if (!attempt.runner().reportLost(sentAgoMillis, keys)) {
            crashMonitor.lost(attempt.runner().entry(), sentAgoMillis, keys);
        }
    }

    /**
     * Record an attempt that is cancelled since its caller has left. Prompts are left out: what they share is in many
     * other requests that the engine holds, so that it is struck anyway.
     */
    void attemptAbandoned(ActiveRequest active, CurrentAttempt attempt) {
        if (active.request().needsModel() || attempt.isBegun()) {
            return;
        }
        crashMonitor.abandoned(attempt.runner().entry(), clock.millisSince(attempt.sentAtNanos()), active.allKeys());
    }

    /** Record that a connection to a runner could not be opened. */
    void attemptUnreachable(CurrentAttempt attempt) {
        crashMonitor.unreachable(attempt.runner().entry());
    }

    /** Record that an attempt is sent to a runner. */
    void attemptSent(ActiveRequest active, KnownRunner runner) {
        losses.recordSent(active, runner, () -> quarantine.describeSuspects(active.allKeys()));
    }

    /** Record that the answer to a request began. */
    void answerBegun(ActiveRequest active) {
        quarantine.begun(
                isIdentified(active)
                        ? active.contentKeys()
                        : ContentKeys.ofParts(active.request().sharedParts()));
    }

    /** Record that the answer to a request is complete. */
    void answerCompleted(ActiveRequest active) {
        losses.recordAnswered(active);
        if (isIdentified(active)) {
            quarantine.completed(active.answerKey());
        }
    }

    /** Return whether the whole request is identified: it may be suspect, or a digest costs little and helps later. */
    private boolean isIdentified(ActiveRequest active) {
        return quarantine.isWatching() || active.request().body().length <= MAX_REMEMBERED_BODY_BYTES;
    }
}
