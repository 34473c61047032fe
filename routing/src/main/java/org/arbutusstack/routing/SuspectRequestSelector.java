package org.arbutusstack.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.arbutusstack.kernel.digest.Digest;

/**
 * Selector that assigns all attempts of a suspect request to one runner by rendezvous hashing, so that only one engine
 * runs it at a time.
 *
 * <p>Stateless and thread-safe.
 */
public final class SuspectRequestSelector {

    /**
     * Select the runner of a suspect request.
     *
     * @param request the requirements of the request
     * @param digest the digest of the request's content
     * @param runners the runners that accept new work
     * @return the runner, or empty if none can serve the request now
     */
    public Optional<RunnerView> select(RoutingRequest request, String digest, Collection<RunnerView> runners) {
        return runners.stream().filter(request::isServedBy).min(Comparator.comparing(runner -> Digest.of(
                        digest + runner.name())
                .hex()));
    }
}
