package org.arbutusstack.gateway.runner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Table of the runners registered in the directory. Runners whose entries expired in an outage of the directory are
 * retained until they have had time to register again.
 *
 * <p>Confined to the entry's event loop.
 */
public final class RunnerTable {

    private static final Logger logger = LoggerFactory.getLogger(RunnerTable.class);

    /** Time for live runners to register again; their entries return about two seconds after the end of an outage. */
    private static final long REREGISTRATION_MILLIS = 2_200;

    /** How long a runner that has left is remembered; an older copy of the directory may still list it as ready. */
    private static final long DEPARTED_MILLIS = 60_000;

    private final Clock clock;

    private final Map<String, KnownRunner> runners = new HashMap<>();

    /** Deadlines for runners whose entries have expired to register again, by identifier. */
    private final Map<String, Long> missingDeadlinesNanos = new HashMap<>();

    /** Until when incarnations that have left are remembered. */
    private final Map<String, Long> departedUntilNanos = new HashMap<>();

    private boolean directoryLost;

    private long reregistrationDeadlineNanos;

    /**
     * Create an empty table.
     *
     * @param clock the clock of the process
     */
    public RunnerTable(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
        this.reregistrationDeadlineNanos = clock.nowNanos();
    }

    /** Record that the directory cannot be read. */
    public void directoryLost() {
        directoryLost = true;
    }

    /**
     * Return whether the directory cannot be read, so that runners may have come and gone unseen.
     *
     * @return whether the directory is lost
     */
    public boolean isDirectoryLost() {
        return directoryLost;
    }

    /** Record that the directory can be read again, and restart the time to register again. */
    public void directoryRegained() {
        directoryLost = false;
        reregistrationDeadlineNanos = clock.deadlineNanos(REREGISTRATION_MILLIS);
        missingDeadlinesNanos.replaceAll((id, untilNanos) -> reregistrationDeadlineNanos);
    }

    /**
     * Replace the table by a complete read of the directory.
     *
     * @param entries all entries in the directory
     */
    public void replaceAll(Collection<RunnerEntry> entries) {
        Set<String> listedIds = new HashSet<>();
        for (RunnerEntry entry : entries) {
            listedIds.add(entry.id());
            put(entry);
        }
        for (String id : List.copyOf(runners.keySet())) {
            if (!listedIds.contains(id)) {
                remove(id);
            }
        }
    }

    /**
     * Add or update a runner; an entry of an earlier incarnation is ignored, and so is one that lists as ready a runner
     * that leaves or has left.
     *
     * @param entry the new or changed entry
     */
    public void put(RunnerEntry entry) {
        missingDeadlinesNanos.remove(entry.id());
        KnownRunner known = runners.get(entry.id());
        if (!entry.leaving() && isDeparting(entry, known)) {
            return;
        }
        if (known != null && known.entry().isSameIncarnation(entry)) {
            if (entry.leaving() && !known.entry().leaving()) {
                logger.info("event=runner-leaving runner={} service={}", entry.id(), entry.service());
            }
            known.entry(entry);
            return;
        }
        if (known != null) {
            if (entry.startedAtMillis() < known.entry().startedAtMillis()) {
                return;
            }
            known.markRemoved();
        }
        logger.info(
                "event=runner-known runner={} service={} address={} started_at={}",
                entry.id(),
                entry.service(),
                entry.address(),
                entry.startedAtMillis());
        runners.put(entry.id(), new KnownRunner(entry, clock));
        supersedeAt(entry);
    }

    /**
     * Return whether an incarnation leaves or has left, which is for good. A runner that does not state its start may
     * be another one under the same identifier.
     */
    private boolean isDeparting(RunnerEntry entry, KnownRunner known) {
        if (entry.startedAtMillis() == 0) {
            return false;
        }
        boolean isLeaving = known != null
                && known.entry().isSameIncarnation(entry)
                && known.entry().leaving();
        return isLeaving || departedUntilNanos.containsKey(entry.incarnation());
    }

    /** Stop sending to all but the latest runner at an address, since the others have ended. */
    private void supersedeAt(RunnerEntry entry) {
        List<KnownRunner> sameAddress = new ArrayList<>();
        for (KnownRunner other : runners.values()) {
            if (other.entry().address().equals(entry.address())) {
                sameAddress.add(other);
            }
        }
        long latestMillis = sameAddress.stream()
                .mapToLong(other -> other.entry().startedAtMillis())
                .max()
                .orElse(entry.startedAtMillis());
        sameAddress.removeIf(other -> other.entry().startedAtMillis() == latestMillis);
        sameAddress.forEach(KnownRunner::markRemoved);
    }

    /**
     * Remove a runner whose entry was deleted; after an outage it is retained until the runner may have registered
     * again, unless it is draining.
     *
     * @param id the identifier of the incarnation
     */
    public void remove(String id) {
        if (!runners.containsKey(id)) {
            return;
        }
        boolean mayReturn = directoryLost || !clock.isPast(reregistrationDeadlineNanos);
        if (mayReturn && !runners.get(id).entry().leaving()) {
            missingDeadlinesNanos.putIfAbsent(id, reregistrationDeadlineNanos);
        } else {
            drop(id, "removed");
        }
    }

    private void drop(String id, String cause) {
        KnownRunner known = runners.remove(id);
        missingDeadlinesNanos.remove(id);
        if (known != null) {
            known.markRemoved();
            if (known.entry().leaving()) {
                departedUntilNanos.put(known.entry().incarnation(), clock.deadlineNanos(DEPARTED_MILLIS));
            }
            logger.info(
                    "event=runner-gone runner={} service={} cause={}",
                    id,
                    known.entry().service(),
                    cause);
        }
    }

    /** Remove the runners that did not register again after an outage. */
    public void tick() {
        departedUntilNanos.values().removeIf(clock::isPast);
        if (directoryLost || missingDeadlinesNanos.isEmpty()) {
            return;
        }
        List<String> overdue = new ArrayList<>();
        Iterator<Map.Entry<String, Long>> iterator =
                missingDeadlinesNanos.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<String, Long> missing = iterator.next();
            if (clock.isPast(missing.getValue())) {
                overdue.add(missing.getKey());
                iterator.remove();
            }
        }
        overdue.forEach(id -> drop(id, "not-returned"));
    }

    /**
     * Return all runners, including those that accept no new requests.
     *
     * @return a view of the table
     */
    public Collection<KnownRunner> all() {
        return runners.values();
    }

    /**
     * Return the runner with an identifier.
     *
     * @param id the identifier of the incarnation
     * @return the runner; null if there is none
     */
    public KnownRunner byId(String id) {
        return runners.get(id);
    }

    /**
     * Return the runners of a service that accept new requests.
     *
     * @param service the name of the service
     * @return the runners in no particular order
     */
    public List<KnownRunner> takingWork(String service) {
        List<KnownRunner> accepting = new ArrayList<>();
        for (KnownRunner runner : runners.values()) {
            if (runner.entry().service().equals(service) && runner.takesWork()) {
                accepting.add(runner);
            }
        }
        return accepting;
    }
}
