package org.arbutusstack.gateway.quarantine;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
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

    private final ReplayLoop loop;

    private final Random random;

    private final ManualClock clock;

    private final List<ContentQuarantine> entries = new ArrayList<>();

    private final List<Runner> runners = new ArrayList<>();

    /** When the fifth crash was; after the end of the replay as long as there was none. */
    private long fifthCrashMillis = DURATION_MILLIS;

    private int harmfulCrashes;

    private int lateArrivals;

    private int sound;

    private int soundRefused;

    QuarantineReplay(Load load, long seed) {
        this.load = load;
        this.loop = new ReplayLoop(seed);
        this.random = loop.random();
        this.clock = loop.clock();
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
                loop.after(LINK_MILLIS, () -> {
                    long agoMillis = clock.millisSince(sent.sentAtNanos());
                    publish(crashes.lost(new LostRequestFrame(crashedIncarnation, agoMillis, sent.keys())));
                });
            }
            unbegun.clear();
            loop.after(RESTART_MILLIS, () -> {
                incarnation++;
                down = false;
            });
        }

        void poll() {
            publish(down ? crashes.pollFailed() : crashes.pollAnswered(incarnation, clock.nowNanos()));
            loop.after(POLL_MILLIS, this::poll);
        }

        void publish(List<StrikeFrame> frames) {
            for (StrikeFrame frame : frames) {
                entries.forEach(entry -> loop.after(LINK_MILLIS, () -> entry.strikeReceived(frame)));
            }
        }
    }

    Result run() {
        for (int number = 0; number < load.runners(); number++) {
            Runner runner = new Runner(number);
            runners.add(runner);
            loop.after(random.nextInt((int) POLL_MILLIS), runner::poll);
        }
        for (int number = 0; number < load.entries(); number++) {
            entries.add(new ContentQuarantine(
                    (host, frame) -> loop.after(LINK_MILLIS, () -> retract(host, frame)),
                    () -> false,
                    new TrialSchedule("edge-" + number, load::entries, clock),
                    clock,
                    new PrometheusRegistry()));
        }
        loop.after(1, this::arrive);
        if (load.crashesPerSecond() > 0) {
            loop.after(loop.exponentialMillis(load.crashesPerSecond()), this::crashByThemselves);
        }
        loop.runUntil(DURATION_MILLIS);
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
        loop.after(loop.exponentialMillis(load.crashesPerSecond()), this::crashByThemselves);
    }

    private String middlePart() {
        return "part:middle" + (int) Math.pow(MIDDLE_PARTS, random.nextDouble());
    }

    private void arrive() {
        boolean harmful = loop.nowMillis() >= HARM_STARTS_MILLIS && random.nextDouble() < load.harmfulShare();
        List<String> keys = new ArrayList<>(List.of("part:first" + random.nextInt(2), middlePart()));
        if (harmful) {
            keys.add(HARMFUL);
        }
        keys.add("request:" + loop.eventCount());
        int entry = random.nextInt(entries.size());
        boolean refused = entries.get(entry).ruleFor(keys).isPresent();
        sound += harmful ? 0 : 1;
        soundRefused += !harmful && refused ? 1 : 0;
        List<Runner> up = runners.stream().filter(runner -> !runner.down).toList();
        if (!refused && !up.isEmpty()) {
            send(up.get(random.nextInt(up.size())), new Sent(entry, keys, clock.nowNanos(), harmful));
        }
        loop.after(loop.exponentialMillis(load.requestsPerSecond()), this::arrive);
    }

    private void send(Runner runner, Sent sent) {
        lateArrivals += sent.harmful() && loop.nowMillis() > fifthCrashMillis + STABLE_WINDOW_MILLIS ? 1 : 0;
        runner.unbegun.add(sent);
        long incarnation = runner.incarnation;
        loop.after(MIN_FIRST_EVENT_MILLIS + random.nextInt(FIRST_EVENT_SPREAD_MILLIS), () -> {
            if (runner.down || runner.incarnation != incarnation) {
                return;
            }
            if (sent.harmful()) {
                harmfulCrashes++;
                fifthCrashMillis = harmfulCrashes == CRASHES_UNTIL_COUNTED ? loop.nowMillis() : fifthCrashMillis;
                runner.crash();
            } else {
                runner.unbegun.remove(sent);
                loop.after(LINK_MILLIS, () -> entries.get(sent.entry()).begun(sent.keys()));
            }
        });
    }
}
