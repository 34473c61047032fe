package org.arbutusstack.gateway.runner;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.IntSupplier;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.IsolatedSteps;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.PermitFrame;
import org.arbutusstack.wire.frame.PermitRequestFrame;

/**
 * Client for the permits to send requests to runners that limit them. Confined to the entry's event loop.
 *
 * @see RunnerLimit
 */
public final class PermitClient {

    private final RunnerTable runners;

    private final BiPredicate<RunnerEntry, Frame> allocators;

    private final IntSupplier entryCount;

    /** Distributes the entries over a period, from 0 to 1. */
    private final double phase;

    /**
     * Create a client.
     *
     * @param entryName the name of this entry, which differs from those of all others
     * @param runners the known runners
     * @param allocators sends a frame to the side that grants the permits for a runner, and returns whether it could
     * @param entryCount returns the number of entries that share a limit while no side grants permits
     */
    public PermitClient(
            String entryName, RunnerTable runners, BiPredicate<RunnerEntry, Frame> allocators, IntSupplier entryCount) {
        this.phase = new SplittableRandom(entryName.hashCode()).nextDouble();
        this.runners = Assert.notNull(runners, "runners");
        this.allocators = Assert.notNull(allocators, "allocators");
        this.entryCount = Assert.notNull(entryCount, "entryCount");
    }

    /**
     * Request permits for runners, unless requests are pending or no permit can be free yet.
     *
     * @param limited the runners
     */
    public void request(List<KnownRunner> limited) {
        limited.forEach(this::request);
    }

    private void request(KnownRunner runner) {
        RunnerLimit limit = runner.limit();
        boolean isOverdue = limit.isOverdue();
        Optional<PermitRequestFrame> request = limit.nextRequest();
        boolean isUnreachable = request.isPresent() && !allocators.test(runner.entry(), request.get());
        if (isOverdue || isUnreachable) {
            limit.takeShare(entryCount.getAsInt(), phase);
        }
    }

    /** Request permits for the runners that would have been sent requests, so that they are there for the next ones. */
    public void tick() {
        IsolatedSteps.forEach("permits", runners.all(), runner -> {
            runner.limit().logAccount();
            if (runner.limit().takeWanted()) {
                request(runner);
            }
        });
    }

    /**
     * Apply the answer to a request for a permit.
     *
     * @param answer the answer
     * @return whether a request may now be sent that could not be sent before
     */
    public boolean received(PermitFrame answer) {
        for (KnownRunner runner : runners.all()) {
            if (runner.entry().incarnation().equals(answer.server())) {
                runner.limit().answered(answer);
                return answer.isGranted();
            }
        }
        return false;
    }
}
