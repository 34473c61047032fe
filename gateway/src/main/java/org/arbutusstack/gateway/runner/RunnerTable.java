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
 * Keeps the runners that the directory names, and for a while those whose entries lapsed in an outage of the directory.
 *
 * <p>Used by the entry's loop only.
 */
public final class RunnerTable {

    private static final Logger logger = LoggerFactory.getLogger(RunnerTable.class);

    /** Entries that lapsed in an outage are back about two seconds after its end, if the runner lives. */
    private static final long RETURN_MILLIS = 2_200;

    private final Clock clock;

    private final Map<String, KnownRunner> runners = new HashMap<>();

    /** The runners without an entry, and until when their entries may come back. */
    private final Map<String, Long> missingUntilNanos = new HashMap<>();

    private boolean directoryLost;

    private long settledAtNanos;

    /**
     * Creates an empty table.
     *
     * @param clock the clock of the process
     */
    public RunnerTable(Clock clock) {
        this.clock = Assert.notNull(clock, "clock");
        this.settledAtNanos = clock.nowNanos();
    }

    /** Learns that the directory cannot be read. */
    public void directoryLost() {
        directoryLost = true;
    }

    /** Learns that the directory can be read again. */
    public void directoryRegained() {
        directoryLost = false;
        settledAtNanos = clock.deadlineNanos(RETURN_MILLIS);
        missingUntilNanos.replaceAll((id, untilNanos) -> settledAtNanos);
    }

    /**
     * Takes all entries of the directory.
     *
     * @param entries the entries
     */
    public void replaceAll(Collection<RunnerEntry> entries) {
        Set<String> named = new HashSet<>();
        for (RunnerEntry entry : entries) {
            named.add(entry.id());
            put(entry);
        }
        for (String id : List.copyOf(runners.keySet())) {
            if (!named.contains(id)) {
                remove(id);
            }
        }
    }

    /**
     * Takes a new or changed entry.
     *
     * @param entry the entry
     */
    public void put(RunnerEntry entry) {
        missingUntilNanos.remove(entry.id());
        KnownRunner known = runners.get(entry.id());
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

    /** Sends nothing more to all but the latest runner at an address: the others have ended. */
    private void supersedeAt(RunnerEntry entry) {
        List<KnownRunner> sharing = new ArrayList<>();
        for (KnownRunner other : runners.values()) {
            if (other.entry().address().equals(entry.address())) {
                sharing.add(other);
            }
        }
        long latestMillis = sharing.stream()
                .mapToLong(other -> other.entry().startedAtMillis())
                .max()
                .orElse(entry.startedAtMillis());
        sharing.removeIf(other -> other.entry().startedAtMillis() == latestMillis);
        sharing.forEach(KnownRunner::markRemoved);
    }

    /**
     * Takes the end of an entry.
     *
     * @param id the identifier of the incarnation
     */
    public void remove(String id) {
        if (!runners.containsKey(id)) {
            return;
        }
        boolean mayReturn = directoryLost || !clock.isPast(settledAtNanos);
        if (mayReturn && !runners.get(id).entry().leaving()) {
            missingUntilNanos.putIfAbsent(id, settledAtNanos);
        } else {
            drop(id, "removed");
        }
    }

    private void drop(String id, String cause) {
        KnownRunner known = runners.remove(id);
        missingUntilNanos.remove(id);
        if (known != null) {
            known.markRemoved();
            logger.info(
                    "event=runner-gone runner={} service={} cause={}",
                    id,
                    known.entry().service(),
                    cause);
        }
    }

    /** Drops the runners whose entries did not come back after an outage. */
    public void tick() {
        if (directoryLost || missingUntilNanos.isEmpty()) {
            return;
        }
        List<String> overdue = new ArrayList<>();
        Iterator<Map.Entry<String, Long>> iterator =
                missingUntilNanos.entrySet().iterator();
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
     * Lists the runners.
     *
     * @return all known
     */
    public Collection<KnownRunner> all() {
        return runners.values();
    }

    /**
     * Finds a runner.
     *
     * @param id the identifier of the incarnation
     * @return the runner; null if it is not known
     */
    public KnownRunner byId(String id) {
        return runners.get(id);
    }

    /**
     * Lists the runners of a service that take new work.
     *
     * @param service the service
     * @return the runners
     */
    public List<KnownRunner> takingWork(String service) {
        List<KnownRunner> able = new ArrayList<>();
        for (KnownRunner runner : runners.values()) {
            if (runner.entry().service().equals(service) && runner.takesWork()) {
                able.add(runner);
            }
        }
        return able;
    }
}
