package org.arbutusstack.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.request.ClaimKey;

/**
 * Selector of the runner for a call that must not be repeated: the owner of its claim bucket by rendezvous hashing.
 *
 * <p>Entries that know the same runners select the same one, so that a bucket is written by a single side. That a call
 * runs at most once does not depend on this selection. Stateless and thread-safe.
 */
public final class ClaimOwnerSelector {

    /**
     * Select the runner of a call.
     *
     * @param key the claim key of the call
     * @param attempt the number of earlier attempts; each attempt goes to the runner with the next rank
     * @param runners the runners that accept new work
     * @return the runner, or empty if the service has none
     */
    public Optional<RunnerView> select(ClaimKey key, int attempt, Collection<RunnerView> runners) {
        String bucket = key.service() + '/' + key.bucket() + '/';
        List<RunnerView> ranked = runners.stream()
                .filter(runner -> runner.service().equals(key.service()))
                .sorted(Comparator.comparing(
                        runner -> Digest.of(bucket + runner.name()).hex()))
                .toList();
        return ranked.isEmpty() ? Optional.empty() : Optional.of(ranked.get(attempt % ranked.size()));
    }
}
