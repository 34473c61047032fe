package org.arbutusstack.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.arbutusstack.kernel.digest.Digest;

/**
 * Chooses one runner for all repeats of a suspect by rendezvous hashing, so that only one engine runs it at a time.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class SuspectRequestSelector {

    /**
     * Chooses.
     *
     * @param request what is needed
     * @param digest the digest of the request's content
     * @param runners the runners that take new work
     * @return the runner, or empty if none can serve the request now
     */
    public Optional<RunnerView> select(RoutingRequest request, String digest, Collection<RunnerView> runners) {
        return runners.stream().filter(request::isServedBy).min(Comparator.comparing(runner -> Digest.of(
                        digest + runner.name())
                .hex()));
    }
}
