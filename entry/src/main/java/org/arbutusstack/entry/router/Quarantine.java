package org.arbutusstack.entry.router;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Consumer;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.routing.RunnerView;
import org.arbutusstack.routing.Strike;
import org.arbutusstack.routing.StrikeRegistry;
import org.arbutusstack.routing.SuspectContent;
import org.arbutusstack.routing.SuspectRequestSelector;
import org.arbutusstack.wire.frame.AnswerPartFrame;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.arbutusstack.wire.link.Link;

/**
 * Quarantine for requests that may crash engines: refuses those during which two engines were lost, and routes those
 * with one such loss to a single runner, which receives the recorded strikes first. Also refuses requests that share a
 * message with others that crashed engines.
 *
 * <p>Not thread-safe: confined to the router's event loop.
 */
final class Quarantine {

    private static final int MAX_KEYS = 10_000;

    private final SuspectContent suspects = new SuspectContent(MAX_KEYS);

    private final SuspectRequestSelector selector = new SuspectRequestSelector();

    private final Clock clock;

    private final Consumer<Frame> sides;

    Quarantine(Clock clock, Consumer<Frame> sides) {
        this.sides = Assert.notNull(sides, "sides");
        this.clock = Assert.notNull(clock, "clock");
    }

    private static String digestOf(CallerRequest request) {
        return StrikeRegistry.digestOf(request.model(), request.adapter(), request.body());
    }

    private boolean mayHaveStrikes(CallerRequest request) {
        return !suspects.isEmpty() && !request.model().isEmpty();
    }

    Optional<Refusal> refusalOf(CallerRequest request) {
        if (!mayHaveStrikes(request)) {
            return Optional.empty();
        }
        if (suspects.requests().isRefused(digestOf(request), clock.nowNanos())) {
            String detail = "two engines were lost while they ran a request with this content";
            return Optional.of(Refusal.rejected(RefusalReason.QUARANTINED, detail));
        }
        return suspects.messageRule(request.body(), clock.nowNanos())
                .map(rule -> Refusal.rejected(RefusalReason.QUARANTINED, rule.describe(clock)));
    }

    /** Withdraw the strikes of the messages of a request whose answer begins, here and in all other processes. */
    void partReceived(PendingRequest pending, AnswerPartFrame part) {
        boolean begins = pending.delivered() == 0 && part.units() > 0;
        if (begins && mayHaveStrikes(pending.request())) {
            suspects.answerBegun(pending.request().body()).forEach(sides);
        }
    }

    boolean isSuspect(CallerRequest request) {
        return mayHaveStrikes(request) && suspects.requests().isSuspect(digestOf(request), clock.nowNanos());
    }

    /** Select the runner for a suspect request. */
    Optional<RunnerView> choose(CallerRequest request, Collection<RunnerView> views) {
        return selector.select(request.routing(), digestOf(request), views);
    }

    /** Send the strikes recorded for a request to the side that is about to receive it. */
    void sendStrikes(Link link, CallerRequest request) {
        if (!mayHaveStrikes(request)) {
            return;
        }
        for (Strike strike : suspects.requests().strikesOf(digestOf(request), clock.nowNanos())) {
            link.send(strike.toFrame(clock));
        }
    }

    void strikeReceived(StrikeFrame frame) {
        if (frame.valid()) {
            suspects.add(Strike.of(frame, clock));
        } else {
            suspects.retract(frame);
        }
    }
}
