package org.arbutusstack.gateway.entry;

import org.arbutusstack.gateway.plan.PlannerElection;
import org.arbutusstack.gateway.quarantine.ContentQuarantine;
import org.arbutusstack.gateway.quarantine.QuarantineRecord;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/** Persistence of the rules of the quarantine by the entry that plans. Confined to the entry's event loop. */
final class QuarantinePersistence {

    /** Time within which a written record is usually read back; the follower collects changes for most of it. */
    private static final long READ_BACK_MILLIS = 2_000;

    private final ContentQuarantine quarantine;

    private final PlannerElection election;

    private final Clock clock;

    /** Time until which the record persisted last may not have been read back yet. */
    private long persistedUntilNanos;

    QuarantinePersistence(ContentQuarantine quarantine, PlannerElection election, Clock clock) {
        this.quarantine = Assert.notNull(quarantine, "quarantine");
        this.election = Assert.notNull(election, "election");
        this.clock = Assert.notNull(clock, "clock");
        this.persistedUntilNanos = clock.nowNanos();
    }

    /** Persist changed rules, and again until they have been read back, while this entry plans. */
    void tick() {
        if (election.holdsLease() && clock.isPast(persistedUntilNanos)) {
            quarantine.recordToPersist().ifPresent(record -> {
                persistedUntilNanos = clock.deadlineNanos(READ_BACK_MILLIS);
                election.persist(QuarantineRecord.KEY, record.encode());
            });
        }
    }

    /** Apply the persisted record, which has been read at a revision of the store. */
    void recordRead(String text, long revision) {
        election.onRecordRead(QuarantineRecord.KEY, revision);
        quarantine.recordRead(QuarantineRecord.decode(text));
    }
}
