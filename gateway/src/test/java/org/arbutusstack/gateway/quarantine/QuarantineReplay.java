package org.arbutusstack.gateway.quarantine;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.wire.frame.LostRequestFrame;
import org.arbutusstack.wire.frame.StrikeFrame;

/** Virtual-time run of the quarantines of many entries and the sides of many runners under a random load. */
final class QuarantineReplay {

    private static final long DURATION_MILLIS = 30_000;

    private static final long HARM_STARTS_MILLIS = 4_000;

    private static final long STABLE_WINDOW_MILLIS = 3_000;

    private static final int CRASHES_UNTIL_COUNTED = 5;

    private static final long LINK_MILLIS = 2;

    private static final long POLL_MILLIS = 50;

    private static final long RESTART_MILLIS = 3_300;

    private static final long MIN_FIRST_EVENT_MILLIS = 60;

    private static final int FIRST_EVENT_SPREAD_MILLIS = 400;

    /** Middle parts, of which the n-th is requested in proportion to 1/n, as subjects of prompts are. */
    private static final int MIDDLE_PARTS = 200;

    private static final String HARMFUL = "part:harmful";

    private final Load load;

    private final Random random;

    private final ManualClock clock = new ManualClock(1_000_000_000L);

    private final PriorityQueue<Event> events = new PriorityQueue<>();

    private final List<ContentQuarantine> entries = new ArrayList<>();

    private final List<Runner> runners = new ArrayList<>();

    private long nowMillis;

    /** When the fifth crash was; after the end of the replay as long as there was none. */
    private long fifthCrashMillis = DURATION_MILLIS;

    private int harmfulCrashes;

    private int lateArrivals;

    private int sound;

    private int soundRefused;

    private int eventCount;

    QuarantineReplay(Load load, long seed) {
        this.load = load;
        this.random = new Random(seed);
    }

    /**
     * Load of a replay.
     *
     * @param entries the number of entries
     * @param runners the number of runners
     * @param requestsPerSecond the requests of all callers
     * @param harmfulShare the share of the requests with the harmful part
     * @param crashesPerSecond the crashes for other reasons, of all runners; every tenth is that of half of the runners
     */
    record Load(int entries, int runners, double requestsPerSecond, double harmfulShare, double crashesPerSecond) {}

    /** Outcome of a replay. */
    record Result(int sound, int soundRefused, int harmfulCrashes, int lateArrivals) {}

    private record Event(long atMillis, int order, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            return atMillis == other.atMillis
                    ? Integer.compare(order, other.order)
                    : Long.compare(atMillis, other.atMillis);
        }
    }

    /** Request in flight at a runner. */
    private record Sent(int entry, List<String> keys, long sentAtNanos, boolean harmful) {}

    /** Runner and the side beside it. */
    private final class Runner {

        final RunnerCrashes crashes;

        final List<Sent> unbegun = new ArrayList<>();

        long incarnation = 1;

        boolean down;

        Runner(int number) {
            crashes = new RunnerCrashes(Integer.toString(number), clock);
        }

        void crash() {
            if (down) {
                return;
            }
            down = true;
            long crashedIncarnation = incarnation;
            for (Sent sent : List.copyOf(unbegun)) {
                after(LINK_MILLIS, () -> {
                    long agoMillis = clock.millisSince(sent.sentAtNanos());
                    publish(crashes.lost(new LostRequestFrame(crashedIncarnation, agoMillis, sent.keys())));
                });
            }
            unbegun.clear();
            after(RESTART_MILLIS, () -> {
                incarnation++;
                down = false;
            });
        }

        void poll() {
            publish(down ? crashes.pollFailed() : crashes.pollAnswered(incarnation, clock.nowNanos()));
            after(POLL_MILLIS, this::poll);
        }

        void publish(List<StrikeFrame> frames) {
            for (StrikeFrame frame : frames) {
                entries.forEach(entry -> after(LINK_MILLIS, () -> entry.strikeReceived(frame)));
            }
        }
    }

    private void after(long millis, Runnable action) {
        events.add(new Event(nowMillis + millis, eventCount++, action));
    }

    private long exponentialMillis(double perSecond) {
        return Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond));
    }

    Result run() {
        for (int number = 0; number < load.runners(); number++) {
            Runner runner = new Runner(number);
            runners.add(runner);
            after(random.nextInt((int) POLL_MILLIS), runner::poll);
        }
        for (int number = 0; number < load.entries(); number++) {
            entries.add(new ContentQuarantine(
                    (host, frame) -> after(LINK_MILLIS, () -> retract(host, frame)),
                    () -> false,
                    clock,
                    new PrometheusRegistry()));
        }
        after(1, this::arrive);
        if (load.crashesPerSecond() > 0) {
            after(exponentialMillis(load.crashesPerSecond()), this::crashByThemselves);
        }
        while (nowMillis < DURATION_MILLIS) {
            Event next = events.remove();
            clock.advanceNanos((next.atMillis() - nowMillis) * Clock.NANOS_PER_MILLI);
            nowMillis = next.atMillis();
            next.action().run();
        }
        return new Result(sound, soundRefused, harmfulCrashes, lateArrivals);
    }

    private void retract(String host, StrikeFrame frame) {
        Runner runner = runners.get(Integer.parseInt(host));
        if (runner.crashes.clear(frame.key())) {
            runner.publish(List.of(StrikeFrame.retraction(frame.key(), "")));
        }
    }

    private void crashByThemselves() {
        boolean many = random.nextInt(10) == 0;
        for (Runner runner : runners) {
            if (many ? random.nextBoolean() : random.nextInt(runners.size()) == 0) {
                runner.crash();
            }
        }
        after(exponentialMillis(load.crashesPerSecond()), this::crashByThemselves);
    }

    private String middlePart() {
        return "part:middle" + (int) Math.pow(MIDDLE_PARTS, random.nextDouble());
    }

    private void arrive() {
        boolean harmful = nowMillis >= HARM_STARTS_MILLIS && random.nextDouble() < load.harmfulShare();
        List<String> keys = new ArrayList<>(List.of("part:first" + random.nextInt(2), middlePart()));
        if (harmful) {
            keys.add(HARMFUL);
        }
        keys.add("request:" + eventCount);
        int entry = random.nextInt(entries.size());
        boolean refused = entries.get(entry).ruleFor(keys).isPresent();
        sound += harmful ? 0 : 1;
        soundRefused += !harmful && refused ? 1 : 0;
        List<Runner> up = runners.stream().filter(runner -> !runner.down).toList();
        if (!refused && !up.isEmpty()) {
            send(up.get(random.nextInt(up.size())), new Sent(entry, keys, clock.nowNanos(), harmful));
        }
        after(exponentialMillis(load.requestsPerSecond()), this::arrive);
    }

    private void send(Runner runner, Sent sent) {
        lateArrivals += sent.harmful() && nowMillis > fifthCrashMillis + STABLE_WINDOW_MILLIS ? 1 : 0;
        runner.unbegun.add(sent);
        long incarnation = runner.incarnation;
        after(MIN_FIRST_EVENT_MILLIS + random.nextInt(FIRST_EVENT_SPREAD_MILLIS), () -> {
            if (runner.down || runner.incarnation != incarnation) {
                return;
            }
            if (sent.harmful()) {
                harmfulCrashes++;
                fifthCrashMillis = harmfulCrashes == CRASHES_UNTIL_COUNTED ? nowMillis : fifthCrashMillis;
                runner.crash();
            } else {
                runner.unbegun.remove(sent);
                after(LINK_MILLIS, () -> entries.get(sent.entry()).begun(sent.keys()));
            }
        });
    }
}
