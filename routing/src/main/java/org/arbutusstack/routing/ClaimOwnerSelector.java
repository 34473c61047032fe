package org.arbutusstack.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.request.ClaimKey;

/**
 * Chooses the runner for a call that may not be repeated: the owner of its claim bucket by rendezvous hashing.
 *
 * <p>All entries that see the same runners choose the same one, so that one side writes a bucket. At most one run of a
 * call does not depend on the choice. Stateless; safe for use by any thread.
 */
public final class ClaimOwnerSelector {

    /**
     * Chooses.
     *
     * @param key the call
     * @param attempt the attempts made before; each goes to the runner next in rank
     * @param runners the runners that take new work
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
