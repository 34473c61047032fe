package org.arbutusstack.side.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Rules for changes to a bucket's value. Does no I/O, stateless and thread-safe. */
final class ClaimTable {

    /** The time after which a claim without an outcome may be sealed without one, in milliseconds. */
    static final long MAX_UNRESOLVED_MILLIS = 900_000;

    private ClaimTable() {}

    /**
     * Apply changes in their order, and drop expired claims and segments.
     *
     * @param head the current value
     * @param sealed the sealed claims of the keys of the changes, by key
     * @param changes the changes to apply
     * @param writer the incarnation of the side that writes
     * @param wallMillis the current time, in milliseconds since the epoch
     * @param limits the limits of claims
     * @return the new value and the result of each change
     */
    static Update apply(
            BucketHead head,
            Map<String, ClaimRecord> sealed,
            List<ClaimChange> changes,
            String writer,
            long wallMillis,
            ClaimLimits limits) {
        Map<String, ClaimRecord> records = new LinkedHashMap<>();
        for (ClaimRecord record : head.records()) {
            if (wallMillis - record.claimedWallMillis() < limits.retentionMillis()) {
                records.put(record.key(), record);
            }
        }
        List<SegmentRef> segments = new ArrayList<>(head.segments());
        segments.removeIf(segment -> wallMillis - segment.sealedWallMillis() >= limits.retentionMillis());
        List<ClaimResult> results = new ArrayList<>();
        boolean changed = false;
        for (ClaimChange change : changes) {
            boolean isSealed = sealed.containsKey(change.key());
            ClaimRecord before = isSealed ? sealed.get(change.key()) : records.get(change.key());
            results.add(change instanceof ClaimChange.Claim claim ? resultFor(before, claim) : null);
            if (isSealed) {
                continue;
            }
            ClaimRecord updated = nextRecord(before, change, wallMillis);
            changed |= updated != before;
            putOrRemove(records, change.key(), updated);
        }
        return new Update(new BucketHead(writer, segments, List.copyOf(records.values())), changed, results);
    }

    private static void putOrRemove(Map<String, ClaimRecord> records, String key, ClaimRecord updated) {
        if (updated == null) {
            records.remove(key);
            return;
        }
        records.put(key, updated);
    }

    private static ClaimResult resultFor(ClaimRecord before, ClaimChange.Claim claim) {
        if (before == null || before.claimant().equals(claim.claimant())) {
            return new ClaimResult.Granted();
        }
        return resultForExisting(before, claim);
    }

    /**
     * Return the result of a claim of a call that another claimant holds.
     *
     * @param before the record of the existing claim
     * @param claim the new claim
     * @return the recorded answer, or the reason why the call may not be sent
     */
    static ClaimResult resultForExisting(ClaimRecord before, ClaimChange.Claim claim) {
        if (!before.content().equals(claim.content())) {
            return new ClaimResult.KeyReused();
        }
        if (before.answer() != null) {
            return new ClaimResult.Answered(before.answer());
        }
        return new ClaimResult.Taken("claimed by " + before.claimant() + "; no outcome is recorded");
    }

    private static ClaimRecord nextRecord(ClaimRecord before, ClaimChange change, long wallMillis) {
        if (before == null) {
            return change instanceof ClaimChange.Claim claim
                    ? new ClaimRecord(claim.key(), claim.content(), claim.claimant(), wallMillis, null)
                    : null;
        }
        boolean ownUnanswered = before.claimant().equals(change.claimant()) && before.answer() == null;
        if (ownUnanswered && change instanceof ClaimChange.Record record) {
            return before.withAnswer(record.answer());
        }
        return ownUnanswered && change instanceof ClaimChange.Release ? null : before;
    }

    /**
     * Return the claims that no longer change.
     *
     * @param head the current value
     * @param wallMillis the current time, in milliseconds since the epoch
     * @return the claims with an outcome, and those that have had none for {@link #MAX_UNRESOLVED_MILLIS}
     */
    static List<ClaimRecord> sealable(BucketHead head, long wallMillis) {
        return head.records().stream()
                .filter(record ->
                        record.answer() != null || wallMillis - record.claimedWallMillis() >= MAX_UNRESOLVED_MILLIS)
                .toList();
    }

    /**
     * Move claims out of a value into a segment.
     *
     * @param head the current value
     * @param moved the claims to move
     * @param segment the segment that holds them
     * @return the value without the claims and with the segment
     */
    static BucketHead seal(BucketHead head, List<ClaimRecord> moved, SegmentRef segment) {
        List<ClaimRecord> remaining = new ArrayList<>(head.records());
        remaining.removeAll(moved);
        List<SegmentRef> segments = new ArrayList<>(head.segments());
        segments.add(segment);
        return new BucketHead(head.writer(), segments, remaining);
    }

    /**
     * Result of applying changes.
     *
     * @param next the new value
     * @param changed whether it differs from the previous value
     * @param results a result for each change, {@code null} for those that are no claims
     */
    record Update(BucketHead next, boolean changed, List<ClaimResult> results) {}
}
