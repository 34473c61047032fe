package org.arbutusstack.side.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.model.request.ClaimKey;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests claims of several sides against a key-value service with faults: refused calls, lost answers and late effects.
 */
public class ClaimCommitterTests {

    private static final long RETENTION_MILLIS = TimeUnit.HOURS.toMillis(24);

    private static final ClaimLimits LIMITS = new ClaimLimits(RETENTION_MILLIS, 100, 1_024, 4_096);

    private static final ClaimKey KEY = new ClaimKey("orderdesk", "order-1");

    private final ManualClock clock = new ManualClock(TimeUnit.HOURS.toNanos(1_000));

    private FaultyStore store = new FaultyStore();

    private int claimNumber;

    private ClaimCommitter side(String name) {
        return new ClaimCommitter(store, clock, LIMITS, name, new ClaimMetrics(new PrometheusRegistry()));
    }

    private ClaimResult claim(ClaimCommitter side, ClaimKey key, String content) {
        return claim(side, key, content, "claim-" + claimNumber++);
    }

    private ClaimResult claim(ClaimCommitter side, ClaimKey key, String content, String claimant) {
        List<ClaimResult> results = new ArrayList<>();
        ClaimChange.Claim claim = new ClaimChange.Claim(key.digest(), content, claimant);
        side.claim(key, claim, clock.deadlineNanos(10_000), results::add);
        clock.advanceMillis(LIMITS.commitMillis());
        side.commitDue();
        assertEquals(results.size(), 1);
        return results.get(0);
    }

    private void record(ClaimCommitter side, ClaimKey key, String claimant, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        RecordedAnswer answer = new RecordedAnswer(200, "application/json", true, bytes);
        side.change(key, new ClaimChange.Record(key.digest(), claimant, answer));
    }

    private void commit(ClaimCommitter side) {
        clock.advanceMillis(1_000);
        side.commitDue();
    }

    @DataProvider
    Object[][] faults() {
        return new Object[][] {
            {FaultyStore.Fault.NONE, "Granted", "Taken"},
            {FaultyStore.Fault.REFUSED, "Unavailable", "Granted"},
            {FaultyStore.Fault.WRITE_REFUSED, "Unavailable", "Granted"},
            {FaultyStore.Fault.UNKNOWN_WITHOUT_EFFECT, "Unavailable", "Granted"},
            {FaultyStore.Fault.ANSWER_LOST, "Granted", "Taken"},
            {FaultyStore.Fault.ANSWER_LOST_AND_DOWN, "Unavailable", "Taken"},
            {FaultyStore.Fault.EFFECT_LATE, "Unavailable", "Taken"},
        };
    }

    @Test(dataProvider = "faults")
    public void shouldGrantOnceWhenStoreFails(FaultyStore.Fault fault, String first, String second) {
        store = new FaultyStore();
        store.fault(fault);
        ClaimResult one = claim(side("a"), KEY, "same");
        store.fault(FaultyStore.Fault.NONE);
        store.applyLateEffect();
        ClaimResult two = claim(side("b"), KEY, "same");
        assertEquals(one.getClass().getSimpleName(), first);
        assertEquals(two.getClass().getSimpleName(), second);
    }

    @Test
    public void shouldRefuseClaimOfPausedSideWhenAnotherClaimedMeanwhile() {
        store = new FaultyStore();
        ClaimCommitter paused = side("a");
        assertTrue(claim(paused, new ClaimKey("orderdesk", "earlier"), "x") instanceof ClaimResult.Granted);
        assertTrue(claim(paused, KEY, "x", "warm") instanceof ClaimResult.Granted);
        paused.change(KEY, new ClaimChange.Release(KEY.digest(), "warm"));
        commit(paused);
        ClaimCommitter other = side("b");
        assertTrue(claim(other, KEY, "same") instanceof ClaimResult.Granted);
        assertTrue(claim(paused, KEY, "same") instanceof ClaimResult.Taken);
    }

    @Test
    public void shouldReleaseClaimWhenItsWriteWasUndecidedAndItWasNeverSent() {
        store = new FaultyStore();
        ClaimCommitter side = side("a");
        store.fault(FaultyStore.Fault.ANSWER_LOST_AND_DOWN);
        assertTrue(claim(side, KEY, "same") instanceof ClaimResult.Unavailable);
        store.fault(FaultyStore.Fault.NONE);
        commit(side);
        assertTrue(claim(side("b"), KEY, "same") instanceof ClaimResult.Granted);
    }

    @Test
    public void shouldReturnRecordedAnswerWhenCallIsRepeated() {
        store = new FaultyStore();
        ClaimCommitter side = side("a");
        claim(side, KEY, "same", "first");
        record(side, KEY, "first", "whole");
        commit(side);
        ClaimResult again = claim(side("b"), KEY, "same");
        assertTrue(again instanceof ClaimResult.Answered);
        byte[] body = ((ClaimResult.Answered) again).answer().body();
        assertEquals(new String(body, StandardCharsets.UTF_8), "whole");
        assertTrue(claim(side("b"), KEY, "other") instanceof ClaimResult.KeyReused);
    }

    @Test
    public void shouldRecordOutcomeLaterWhenStoreWasDown() {
        store = new FaultyStore();
        ClaimCommitter side = side("a");
        claim(side, KEY, "same", "first");
        store.fault(FaultyStore.Fault.REFUSED);
        record(side, KEY, "first", "whole");
        commit(side);
        store.fault(FaultyStore.Fault.NONE);
        commit(side);
        assertTrue(claim(side("b"), KEY, "same") instanceof ClaimResult.Answered);
    }

    @Test
    public void shouldKeepValuesSmallAndClaimsForRetentionWhenManyCallsEnd() {
        store = new FaultyStore();
        ClaimCommitter side = side("a");
        List<ClaimKey> keys = keysOfOneBucket(400);
        for (ClaimKey key : keys) {
            assertTrue(claim(side, key, "c", "of-" + key.idempotencyKey()) instanceof ClaimResult.Granted);
            record(side, key, "of-" + key.idempotencyKey(), "x".repeat(100));
        }
        commit(side);
        assertTrue(store.maxValueBytes() < 4 * LIMITS.sealBytes(), "longest value " + store.maxValueBytes());
        assertTrue(store.keyCount() > 10, "segments " + store.keyCount());
        clock.advanceMillis(RETENTION_MILLIS / 2);
        ClaimCommitter other = side("b");
        for (ClaimKey key : keys) {
            assertTrue(claim(other, key, "c") instanceof ClaimResult.Answered);
        }
        clock.advanceMillis(RETENTION_MILLIS);
        assertTrue(claim(side("c"), keys.get(0), "c") instanceof ClaimResult.Granted);
    }

    @Test
    public void shouldRefuseClaimsWhenSegmentIsMissingWithinRetention() {
        store = new FaultyStore();
        ClaimCommitter side = side("a");
        for (ClaimKey key : keysOfOneBucket(40)) {
            claim(side, key, "c", "of-" + key.idempotencyKey());
            record(side, key, "of-" + key.idempotencyKey(), "x".repeat(200));
        }
        commit(side);
        String segment = store.keys().stream()
                .filter(key -> key.contains("-"))
                .findFirst()
                .orElseThrow();
        store.remove(segment);
        assertTrue(claim(side("b"), keysOfOneBucket(1).get(0), "c") instanceof ClaimResult.Unavailable);
    }

    @Test
    public void shouldBoundWritesWhenManyClaimsArrive() {
        store = new FaultyStore();
        ClaimCommitter side = side("a");
        List<ClaimResult> results = new ArrayList<>();
        for (int millis = 0; millis < 1_000; millis += 10) {
            for (int call = 0; call < 10; call++) {
                ClaimKey key = new ClaimKey("orderdesk", "k" + millis + "-" + call);
                ClaimChange.Claim claim = new ClaimChange.Claim(key.digest(), "c", "of-" + key.idempotencyKey());
                side.claim(key, claim, clock.deadlineNanos(2_000), results::add);
            }
            clock.advanceMillis(10);
            side.commitDue();
        }
        commit(side);
        assertEquals(
                results.stream().filter(ClaimResult.Granted.class::isInstance).count(), 1_000);
        int maxWrites = ClaimKey.BUCKETS * 11 * 3;
        assertTrue(store.writes() <= maxWrites, "writes " + store.writes());
    }

    @Test
    public void shouldSettleClaimWhenItsDeadlinePassesInOutage() {
        store = new FaultyStore();
        store.fault(FaultyStore.Fault.REFUSED);
        ClaimCommitter side = side("a");
        claim(side, KEY, "same");
        List<ClaimResult> results = new ArrayList<>();
        ClaimChange.Claim claim = new ClaimChange.Claim(KEY.digest(), "same", "late");
        side.claim(KEY, claim, clock.deadlineNanos(50), results::add);
        clock.advanceMillis(60);
        side.commitDue();
        assertTrue(results.get(0) instanceof ClaimResult.Unavailable);
    }

    @DataProvider
    Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {5L}, {8L}, {13L}, {21L}, {34L}};
    }

    /** Lets three sides claim the same keys under random faults, with pauses between a claim and its send. */
    @Test(dataProvider = "seeds")
    public void shouldSendEachCallAtMostOnceWhenFaultsAreRandom(long seed) {
        store = new FaultyStore();
        Random random = new Random(seed);
        List<ClaimCommitter> sides = List.of(side("a"), side("b"), side("c"));
        Map<String, Integer> sent = new HashMap<>();
        FaultyStore.Fault[] kinds = FaultyStore.Fault.values();
        for (int step = 0; step < 2_000; step++) {
            if (random.nextInt(3) == 0) {
                store.fault(random.nextBoolean() ? FaultyStore.Fault.NONE : kinds[random.nextInt(kinds.length)]);
            }
            if (random.nextInt(10) == 0) {
                store.applyLateEffect();
            }
            ClaimCommitter side = sides.get(random.nextInt(sides.size()));
            ClaimKey key = new ClaimKey("orderdesk", "k" + random.nextInt(200));
            String claimant = "claim-" + claimNumber++;
            if (claim(side, key, "c", claimant) instanceof ClaimResult.Granted) {
                boolean late = random.nextInt(5) == 0;
                if (late) {
                    side.change(key, new ClaimChange.Release(key.digest(), claimant));
                } else {
                    sent.merge(key.idempotencyKey(), 1, Integer::sum);
                    record(side, key, claimant, "done");
                }
            }
        }
        int maxSends = sent.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertEquals(maxSends, 1, "seed " + seed);
        assertTrue(sent.size() > 100, "keys sent " + sent.size());
    }

    private static List<ClaimKey> keysOfOneBucket(int count) {
        List<ClaimKey> keys = new ArrayList<>();
        for (int number = 0; keys.size() < count; number++) {
            ClaimKey key = new ClaimKey("orderdesk", "n" + number);
            if (key.bucket() == 3) {
                keys.add(key);
            }
        }
        return keys;
    }

    /** Guards against calls that nobody answers, since the handling of another claim in the same commit failed. */
    @Test
    public void shouldSettleOtherClaimsWhenHandlingOfOneFails() {
        store = new FaultyStore();
        ClaimCommitter side = side("a");
        List<ClaimResult> results = new ArrayList<>();
        for (int number = 0; number < 8; number++) {
            ClaimKey key = new ClaimKey("orderdesk", "order-" + number % 4);
            ClaimChange.Claim claim = new ClaimChange.Claim(key.digest(), "same", "claim-" + number);
            side.claim(key, claim, clock.deadlineNanos(10_000), result -> {
                results.add(result);
                throw new IllegalStateException("the result cannot be handled");
            });
        }
        commit(side);
        assertEquals(results.size(), 8);
    }

    /** Guards against claims of other buckets that wait forever, since what one bucket holds cannot be read. */
    @Test
    public void shouldCommitOtherBucketsWhenOneCannotBeHandled() {
        store = new FaultyStore();
        ClaimCommitter side = side("a");
        ClaimKey broken = new ClaimKey("orderdesk", "order-1");
        store.breakBucket(broken.bucket());
        List<ClaimResult> results = new ArrayList<>();
        for (int number = 0; number < 40; number++) {
            ClaimKey key = new ClaimKey("orderdesk", "order-" + number);
            ClaimChange.Claim claim = new ClaimChange.Claim(key.digest(), "same", "claim-" + number);
            side.claim(key, claim, clock.deadlineNanos(10_000), results::add);
        }
        commit(side);
        int settled = results.size();
        assertTrue(settled > 0 && settled < 40, settled + " settled");
        clock.advanceMillis(20_000);
        side.commitDue();
        assertEquals(results.size(), 40);
        assertTrue(results.subList(settled, 40).stream().allMatch(ClaimResult.Unavailable.class::isInstance));
    }
}
