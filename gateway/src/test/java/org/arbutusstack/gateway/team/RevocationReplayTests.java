package org.arbutusstack.gateway.team;

import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.kernel.time.ClockReading;
import org.testng.annotations.Test;

/**
 * Replays 500 runs in which a key is withdrawn while the entry is cut off, frozen or suspended and its wall clock is
 * set, and compares with the true time, which no entry knows.
 */
public class RevocationReplayTests {

    private static final long LIMIT_MILLIS = 5_000;

    private static final int RUNS = 500;

    private static final int RUN_MILLIS = 30_000;

    private static final int STEP_MILLIS = 20;

    private static final int CALL_MILLIS = 1_140;

    private final ReplayClock clock = new ReplayClock();

    private SplittableRandom random;

    private Deque<Call> calls;

    private ConfigLease lease;

    private long withdrawnAtMillis;

    private boolean knowsWithdrawal;

    private long accepted;

    private long asked;

    /** A call to the store: it is answered with the state as of its arrival, or not at all. */
    private record Call(ClockReading sentAt, long answeredAtMillis, boolean isAnswered, boolean hasWithdrawal) {}

    /** Guards against any request that runs with a key that was withdrawn more than the limit before it was sent. */
    @Test
    public void shouldNeverAcceptKeyWithdrawnLongerAgoThanPermitted() {
        for (int seed = 0; seed < RUNS; seed++) {
            run(seed, true);
        }
    }

    /** Guards against a lease so short that requests are refused although the store answers. */
    @Test
    public void shouldAcceptKeyAllTheTimeWhileStoreAnswers() {
        accepted = 0;
        asked = 0;
        run(1, false);
        assertTrue(accepted == asked && asked > 500, accepted + " of " + asked);
    }

    private void run(int seed, boolean disturbed) {
        random = new SplittableRandom(seed);
        lease = new ConfigLease(OptionalLong.of(LIMIT_MILLIS), clock);
        calls = new ArrayDeque<>();
        withdrawnAtMillis = clock.trueMillis + (disturbed ? 3_000 + random.nextInt(12_000) : RUN_MILLIS / 2);
        knowsWithdrawal = false;
        long startMillis = clock.trueMillis;
        long endMillis = startMillis + RUN_MILLIS;
        send(disturbed);
        while (clock.trueMillis < endMillis) {
            clock.awake(STEP_MILLIS);
            if (disturbed && random.nextInt(200) == 0) {
                disturb();
            }
            receive(disturbed);
            boolean hasKey = !knowsWithdrawal;
            boolean isStarted = clock.trueMillis - startMillis > 2 * CALL_MILLIS;
            boolean admitted = hasKey && lease.isValid();
            asked += hasKey && isStarted ? 1 : 0;
            accepted += admitted && isStarted ? 1 : 0;
            long lateMillis = clock.trueMillis - withdrawnAtMillis;
            assertTrue(!admitted || lateMillis <= LIMIT_MILLIS, "seed " + seed + ": " + lateMillis + " ms late");
        }
    }

    private void disturb() {
        switch (random.nextInt(3)) {
            case 0 -> clock.awake(random.nextInt(8_000));
            case 1 -> clock.suspend(random.nextInt(8_000));
            default -> {
                // The entry looks at its clocks every 40 ms, so also between a suspension and this step.
                lease.isValid();
                clock.setWall(random.nextInt(-6_000, 6_000));
            }
        }
    }

    private void send(boolean disturbed) {
        boolean isAnswered = !disturbed || random.nextInt(3) > 0;
        boolean hasWithdrawal = clock.trueMillis >= withdrawnAtMillis;
        calls.add(new Call(ClockReading.of(clock), clock.trueMillis + CALL_MILLIS, isAnswered, hasWithdrawal));
    }

    private void receive(boolean disturbed) {
        if (clock.trueMillis < calls.peek().answeredAtMillis()) {
            return;
        }
        Call call = calls.remove();
        if (call.isAnswered()) {
            knowsWithdrawal |= call.hasWithdrawal();
            lease.confirm(call.sentAt());
        }
        send(disturbed);
    }

    /** Clocks of a host: the monotonic one stands still while the host is suspended, the wall clock can be set. */
    private static final class ReplayClock implements Clock {

        private long trueMillis;

        private long monotonicMillis;

        private long wallMillis = 1_700_000_000_000L;

        void awake(long millis) {
            monotonicMillis += millis;
            suspend(millis);
        }

        void suspend(long millis) {
            trueMillis += millis;
            wallMillis += millis;
        }

        void setWall(long byMillis) {
            wallMillis += byMillis;
        }

        @Override
        public long nowNanos() {
            return monotonicMillis * NANOS_PER_MILLI;
        }

        @Override
        public long wallMillis() {
            return wallMillis;
        }
    }
}
