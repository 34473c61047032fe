package org.arbutusstack.gateway.agent;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.arbutusstack.gateway.runner.KnownRunner;
import org.arbutusstack.gateway.runner.PermitClient;
import org.arbutusstack.gateway.runner.RunnerEntry;
import org.arbutusstack.gateway.runner.RunnerTable;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.PermitFrame;
import org.arbutusstack.wire.frame.PermitRequestFrame;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Replays unequal traffic of many entries to one server that names a limit, in virtual time with the delays of links.
 * Guards against exceeding the limit together, and against leaving most of it unused.
 */
public class ServerLimitReplayTests {

    /** The users' rule. */
    private static final double TOLERATED_FACTOR = 1.5;

    private static final int TOLERATED_REQUESTS = 5;

    private static final long WINDOW_MILLIS = 4_000;

    private static final long STABLE_WINDOW_MILLIS = 3_000;

    private static final long TOLD_MILLIS = 500;

    /** Least part of the limit that entries with more demand than that use while a side grants permits. */
    private static final double LEAST_USE = 0.6;

    private static final long LINK_MILLIS = 2;

    private static final long TICK_MILLIS = 40;

    private static final long DURATION_MILLIS = 40_000;

    private static final long LIMIT_STARTS_MILLIS = 2_000;

    private static final long CHANGES_MILLIS = 10_000;

    private static final long CHANGE_INTERVAL_MILLIS = 7_000;

    private static final int SEEDS = 10;

    /** What goes on beside the traffic. */
    private enum Disturbance {
        NONE,
        /** The side that grants permits is lost with its memory, and is back after three seconds. */
        SIDE_RESTARTS,
        /** The side is gone for good, so that each entry takes its share. */
        NO_SIDE,
        /** Every second entry starts late and stops early. */
        ENTRIES_COME_AND_GO,
        /** The server names a quarter of the limit, then twice the limit, none at all, and the limit again. */
        LIMIT_CHANGES
    }

    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {5, 60.0, 1.6, Disturbance.NONE},
            {5, 60.0, 1.6, Disturbance.SIDE_RESTARTS},
            {5, 60.0, 1.6, Disturbance.NO_SIDE},
            {5, 60.0, 20.0, Disturbance.ENTRIES_COME_AND_GO},
            {5, 60.0, 6.4, Disturbance.LIMIT_CHANGES},
            {33, 400.0, 20.0, Disturbance.LIMIT_CHANGES},
            {33, 400.0, 1.6, Disturbance.NONE},
            {33, 400.0, 1.6, Disturbance.ENTRIES_COME_AND_GO},
            {33, 400.0, 1.6, Disturbance.NO_SIDE},
            {33, 400.0, 40.0, Disturbance.SIDE_RESTARTS},
            {33, 400.0, 40.0, Disturbance.NO_SIDE}
        };
    }

    @Test(dataProvider = "loads")
    public void shouldKeepLimitTogetherAndUseIt(int entries, double perSecond, double limit, Disturbance disturbance) {
        for (int seed = 0; seed < SEEDS; seed++) {
            Replay replay = new Replay(entries, perSecond, limit, disturbance, seed);
            replay.run();
            String seen = disturbance + " seed " + seed + ": ";
            String exceeded = replay.exceededWindow();
            assertTrue(exceeded.isEmpty(), seen + exceeded);
            if (disturbance == Disturbance.NONE) {
                double usedPerSecond = replay.sentPerSecond();
                assertTrue(usedPerSecond >= LEAST_USE * limit, seen + usedPerSecond + " a second of " + limit);
            }
        }
    }

    private record Event(long atMillis, int order, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            return atMillis == other.atMillis
                    ? Integer.compare(order, other.order)
                    : Long.compare(atMillis, other.atMillis);
        }
    }

    /** One run. */
    private static final class Replay {

        private static final RunnerEntry SERVER =
                new RunnerEntry("i-1", "s", new HttpTarget("10.0.0.1", 80), "z", 7, 8, false, Map.of());

        private final ManualClock clock = new ManualClock(1_000_000_000L);

        private final PriorityQueue<Event> events = new PriorityQueue<>();

        private final List<Entry> entries = new ArrayList<>();

        private final TreeMap<Long, Integer> countedSends = new TreeMap<>();

        private final Random random;

        private final double perSecond;

        private final double limit;

        private final Disturbance disturbance;

        private PermitAllocator allocator = new PermitAllocator(clock);

        private boolean sideUp = true;

        private long nowMillis;

        private int eventCount;

        private int sentUnderLimit;

        Replay(int entryCount, double perSecond, double limit, Disturbance disturbance, long seed) {
            this.random = new Random(seed);
            this.perSecond = perSecond;
            this.limit = limit;
            this.disturbance = disturbance;
            for (int number = 0; number < entryCount; number++) {
                entries.add(new Entry(number));
            }
        }

        private void after(long millis, Runnable action) {
            events.add(new Event(nowMillis + millis, eventCount++, action));
        }

        void run() {
            entries.forEach(entry -> after(random.nextInt((int) TICK_MILLIS), entry::tick));
            after(1, this::arrive);
            if (disturbance == Disturbance.NO_SIDE) {
                after(5_000, () -> sideUp = false);
            } else if (disturbance == Disturbance.SIDE_RESTARTS) {
                after(9_000, () -> sideUp = false);
                after(12_000, () -> {
                    allocator = new PermitAllocator(clock);
                    sideUp = true;
                });
            }
            while (nowMillis < DURATION_MILLIS) {
                Event next = events.remove();
                clock.advanceNanos((next.atMillis() - nowMillis) * Clock.NANOS_PER_MILLI);
                nowMillis = next.atMillis();
                next.action().run();
            }
        }

        /** The n-th entry gets traffic in proportion to 1/n. */
        private void arrive() {
            int number = (int) Math.pow(entries.size() + 1, random.nextDouble()) - 1;
            entries.get(Math.min(number, entries.size() - 1)).arrive();
            after(Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond)), this::arrive);
        }

        /** Return the limit that answers name at a time; zero for none. */
        private double limitAt(long millis) {
            if (millis < LIMIT_STARTS_MILLIS) {
                return 0;
            }
            if (disturbance != Disturbance.LIMIT_CHANGES || millis < CHANGES_MILLIS) {
                return limit;
            }
            double[] factors = {0.25, 2, 0, 1};
            long phase = (millis - CHANGES_MILLIS) / CHANGE_INTERVAL_MILLIS;
            return limit * factors[(int) Math.min(phase, factors.length - 1)];
        }

        /** Describe a window in which the server got more than the users' rule allows; empty if there is none. */
        String exceededWindow() {
            for (long start : countedSends.keySet()) {
                long end = start + WINDOW_MILLIS;
                int count = countedSends.subMap(start, end).values().stream()
                        .mapToInt(Integer::intValue)
                        .sum();
                double allowed = TOLERATED_REQUESTS;
                boolean isCounted = true;
                for (long millis = start - STABLE_WINDOW_MILLIS; millis < end; millis++) {
                    isCounted &= limitAt(millis) > 0;
                    allowed += millis < start ? 0 : TOLERATED_FACTOR * limitAt(millis) / 1_000;
                }
                if (isCounted && count > allowed) {
                    return count + " requests in the window from " + start + " ms, allowed " + allowed;
                }
            }
            return "";
        }

        double sentPerSecond() {
            return sentUnderLimit * 1_000.0 / (DURATION_MILLIS - LIMIT_STARTS_MILLIS - STABLE_WINDOW_MILLIS);
        }

        private final class Entry {

            private final RunnerTable table = new RunnerTable(clock);

            private final KnownRunner server;

            private final PermitClient client;

            private final boolean comesAndGoes;

            private long toldAtMillis = DURATION_MILLIS;

            Entry(int number) {
                table.put(SERVER);
                server = table.byId(SERVER.id());
                client = new PermitClient("edge-" + number, table, this::send, entries::size);
                comesAndGoes = disturbance == Disturbance.ENTRIES_COME_AND_GO && number % 2 == 1;
            }

            private boolean isUp() {
                return !comesAndGoes || nowMillis > 6_000 && nowMillis < 16_000;
            }

            private boolean send(RunnerEntry runner, Frame frame) {
                if (!sideUp) {
                    return false;
                }
                after(LINK_MILLIS, () -> {
                    if (sideUp) {
                        PermitFrame answer = allocator.request((PermitRequestFrame) frame);
                        after(LINK_MILLIS, () -> client.received(answer));
                    }
                });
                return true;
            }

            private void tick() {
                client.tick();
                after(TICK_MILLIS, this::tick);
            }

            private void arrive() {
                if (!isUp()) {
                    return;
                }
                if (server.limit().needsPermit()) {
                    server.limit().markWanted();
                    return;
                }
                server.recordSent(0);
                long sentAtNanos = clock.nowNanos();
                if (nowMillis >= toldAtMillis + TOLD_MILLIS) {
                    countedSends.merge(nowMillis, 1, Integer::sum);
                }
                sentUnderLimit += nowMillis >= LIMIT_STARTS_MILLIS + STABLE_WINDOW_MILLIS ? 1 : 0;
                after(50 + random.nextInt(350), () -> {
                    double named = limitAt(nowMillis);
                    toldAtMillis = named > 0 ? Math.min(toldAtMillis, nowMillis) : toldAtMillis;
                    server.limit().record(named, sentAtNanos);
                });
            }
        }
    }
}
