package org.arbutusstack.side.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides what changes make of a bucket's value. Does no I/O and keeps no state; safe for use by any thread.
 */
final class ClaimTable {

    /** The time after which a claim without an outcome may be sealed as it is, in milliseconds. */
    static final long MAX_UNRESOLVED_MILLIS = 900_000;

    private ClaimTable() {}

    /**
     * Applies changes in their order.
     *
     * @param head the value as it is
     * @param sealed the sealed claims of the keys of the changes, by key
     * @param changes the changes
     * @param writer the incarnation of the side that writes
     * @param wallMillis the time, in milliseconds since the epoch
     * @param limits the limits
     * @return the value that follows, and a result for each change; {@code null} for those that are no claims
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
     * Answers a claim of a call that another claim holds.
     *
     * @param before the record of the other claim
     * @param claim the claim
     * @return the result
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
     * Chooses the claims that do not change any more.
     *
     * @param head the value
     * @param wallMillis the time, in milliseconds since the epoch
     * @return those with an outcome and those open for long
     */
    static List<ClaimRecord> sealable(BucketHead head, long wallMillis) {
        return head.records().stream()
                .filter(record ->
                        record.answer() != null || wallMillis - record.claimedWallMillis() >= MAX_UNRESOLVED_MILLIS)
                .toList();
    }

    /**
     * Moves claims out of a value into a segment.
     *
     * @param head the value
     * @param moved the claims
     * @param segment the segment that holds them
     * @return the value without them
     */
    static BucketHead seal(BucketHead head, List<ClaimRecord> moved, SegmentRef segment) {
        List<ClaimRecord> remaining = new ArrayList<>(head.records());
        remaining.removeAll(moved);
        List<SegmentRef> segments = new ArrayList<>(head.segments());
        segments.add(segment);
        return new BucketHead(head.writer(), segments, remaining);
    }

    /**
     * Tells what follows from changes.
     *
     * @param next the value that follows
     * @param changed whether it differs from the value before
     * @param results a result for each change, {@code null} for those that are no claims
     */
    record Update(BucketHead next, boolean changed, List<ClaimResult> results) {}
}
