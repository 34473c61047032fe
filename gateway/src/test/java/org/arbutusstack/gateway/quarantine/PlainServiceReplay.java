package org.arbutusstack.gateway.quarantine;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.arbutusstack.gateway.runner.RunnerEntry;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.wire.frame.StrikeFrame;
import org.arbutusstack.wire.link.Link;

/**
 * Virtual-time run of the quarantines and crash monitors of several entries before the servers of a plain service, some
 * of whose requests crash the servers that run them. Entries and callers repeat what is lost.
 */
final class PlainServiceReplay {

    private static final long DURATION_MILLIS = 30_000;

    private static final long HARM_STARTS_MILLIS = 4_000;

    private static final long STABLE_WINDOW_MILLIS = 3_000;

    private static final int CRASHES_UNTIL_COUNTED = 3;

    private static final long LINK_MILLIS = 2;

    private static final long TICK_MILLIS = 10;

    private static final long RESTART_MILLIS = 2_800;

    private static final long MIN_WORK_MILLIS = 30;

    private static final int WORK_SPREAD_MILLIS = 120;

    private static final int CALLER_ATTEMPTS = 2;

    private static final long CALLER_PATIENCE_MILLIS = 1_000;

    private static final int CALLER_RETRY_SPREAD_MILLIS = 400;

    private static final int FAILURE_SPREAD_MILLIS = 10;

    /** Time from a restart until the entries read it in the directory, at least and beyond that. */
    private static final long MIN_LISTING_MILLIS = 50;

    private static final int LISTING_SPREAD_MILLIS = 900;

    private static final long PATIENCE_OF_LEAVING_CALLERS_MILLIS = 50;

    private final PlainServiceLoad load;

    private final ReplayLoop loop;

    private final Random random;

    private final ManualClock clock;

    private final RunnerCrashes relay;

    private final List<Entry> entries = new ArrayList<>();

    private final List<Server> servers = new ArrayList<>();

    private final int[] crashes;

    /** When each harmful request crashed its third server; after the end of the replay as long as it has not. */
    private final long[] thirdCrashMillis;

    private final int[] lateArrivals;

    private int sound;

    private int soundRefused;

    private int soundExpired;

    private long serverMillisUp;

    PlainServiceReplay(PlainServiceLoad load, long seed) {
        this.load = load;
        this.loop = new ReplayLoop(seed);
        this.random = loop.random();
        this.clock = loop.clock();
        this.relay = new RunnerCrashes("relay", clock);
        this.crashes = new int[load.harmfulRequests()];
        this.thirdCrashMillis = new long[load.harmfulRequests()];
        this.lateArrivals = new int[load.harmfulRequests()];
    }

    /**
     * Outcome of a replay.
     *
     * @param sound the sound requests
     * @param soundRefused those that the quarantine refused, or held until their callers left
     * @param lateArrivals the arrivals of a harmful request too late after its third crash; of several, of the worst
     * @param crashes the servers lost
     * @param upShare the servers that are up, as a share of all, on average from the first harmful request on
     */
    record Result(int sound, int soundRefused, int lateArrivals, int crashes, double upShare) {}

    /** Request of a caller; {@code harmful} is the number of the harmful request, or negative. */
    private record Call(List<String> keys, int harmful, int entryAttempts, int callerAttempt) {}

    private record Sent(Entry entry, Call call, int sends, long deadlineMillis, long sentAtNanos, RunnerEntry server) {}

    private final class Entry {

        final ContentQuarantine quarantine;

        final StrikeExchange exchange;

        final CrashMonitor monitor;

        Entry() {
            PrometheusRegistry registry = new PrometheusRegistry();
            TrialSchedule trials = new TrialSchedule("edge-" + entries.size(), load::entries, clock);
            quarantine = new ContentQuarantine(this::retracted, () -> false, trials, clock, registry);
            exchange = new StrikeExchange(
                    (host, frame) -> false, PlainServiceReplay.this::relay, quarantine::strikeReceived, clock);
            monitor = new CrashMonitor(this::probe, server -> "/health", exchange::found, clock, registry);
        }

        private void retracted(String host, StrikeFrame frame) {
            exchange.retract(host, frame);
        }

        /** Open a link to the entry that plans. */
        void connectTo(Entry planner) {
            Link toEntry = new ReplayLink(loop, LINK_MILLIS, exchange::receivedFromPlanner);
            planner.exchange.entryConnected(toEntry);
            exchange.plannerConnected(
                    new ReplayLink(loop, LINK_MILLIS, frame -> planner.exchange.receivedFromEntry(toEntry, frame)));
        }

        private void probe(
                RunnerEntry server, String path, long deadlineNanos, Consumer<LivenessProbe.Result> listener) {
            Server probed = servers.get(Integer.parseInt(server.id()));
            loop.after(LINK_MILLIS, () -> listener.accept(probed.answerTo(server)));
        }

        void tick() {
            monitor.tick();
            loop.after(TICK_MILLIS, this::tick);
        }

        void submit(Call call) {
            route(call, 1, loop.nowMillis() + CALLER_PATIENCE_MILLIS);
        }

        private void route(Call call, int sends, long deadlineMillis) {
            if (quarantine.ruleFor(call.keys()).isPresent()) {
                soundRefused += call.harmful() < 0 ? 1 : 0;
                return;
            }
            if (load.trouble() == PlainServiceLoad.Trouble.CALLERS_LEAVE) {
                findUnreachable();
            }
            List<Server> up = servers.stream().filter(server -> !server.down).toList();
            if (up.isEmpty()) {
                return;
            }
            if (quarantine.maySend(call.keys())) {
                Server server = up.get(random.nextInt(up.size()));
                server.run(new Sent(this, call, sends, deadlineMillis, clock.nowNanos(), server.listed));
            } else if (loop.nowMillis() < deadlineMillis) {
                loop.after(TICK_MILLIS, () -> route(call, sends, deadlineMillis));
            } else {
                soundExpired += call.harmful() < 0 ? 1 : 0;
            }
        }

        /** Choose a server first that may be down, since this entry does not know that yet. */
        private void findUnreachable() {
            Server chosen = servers.get(random.nextInt(servers.size()));
            if (chosen.down) {
                monitor.unreachable(chosen.listed);
            }
        }

        void abandoned(Sent sent) {
            monitor.abandoned(
                    sent.server(),
                    clock.millisSince(sent.sentAtNanos()),
                    sent.call().keys());
        }

        void lost(Sent sent) {
            monitor.lost(
                    sent.server(),
                    clock.millisSince(sent.sentAtNanos()),
                    sent.call().keys());
            if (sent.sends() < sent.call().entryAttempts()) {
                route(sent.call(), sent.sends() + 1, sent.deadlineMillis());
            } else if (sent.call().callerAttempt() < CALLER_ATTEMPTS) {
                Call call = sent.call();
                Call next = new Call(call.keys(), call.harmful(), call.entryAttempts(), call.callerAttempt() + 1);
                loop.after(1 + random.nextInt(CALLER_RETRY_SPREAD_MILLIS), () -> anyEntry()
                        .submit(next));
            }
        }

        void answered(Call call) {
            quarantine.begun(call.keys().subList(0, 1));
            quarantine.completed(call.keys().get(1));
        }
    }

    private final class Server {

        final int number;

        final List<Sent> running = new ArrayList<>();

        final Set<Sent> abandoned = new HashSet<>();

        long startedAtMillis = 1;

        boolean down;

        /** The entry that the directory lists. */
        RunnerEntry listed;

        Server(int number) {
            this.number = number;
            this.listed = entry();
        }

        RunnerEntry entry() {
            HttpTarget address = new HttpTarget("10.0.0." + (number + 1), 80);
            return new RunnerEntry(
                    Integer.toString(number), "orderdesk", address, "z1", startedAtMillis, 8, false, Map.of());
        }

        LivenessProbe.Result answerTo(RunnerEntry expected) {
            if (down) {
                return LivenessProbe.Result.REFUSED;
            }
            if (load.trouble() == PlainServiceLoad.Trouble.LISTED_LATE) {
                return LivenessProbe.Result.SAME_IDENTIFIER;
            }
            return expected.startedAtMillis() == startedAtMillis
                    ? LivenessProbe.Result.SAME_INCARNATION
                    : LivenessProbe.Result.OTHER_INCARNATION;
        }

        void run(Sent sent) {
            int harmful = sent.call().harmful();
            if (harmful >= 0 && loop.nowMillis() > thirdCrashMillis[harmful] + STABLE_WINDOW_MILLIS) {
                lateArrivals[harmful]++;
            }
            running.add(sent);
            if (harmful >= 0 && load.trouble() == PlainServiceLoad.Trouble.CALLERS_LEAVE) {
                loop.after(PATIENCE_OF_LEAVING_CALLERS_MILLIS, () -> leave(sent));
            }
            long incarnation = startedAtMillis;
            loop.after(MIN_WORK_MILLIS + random.nextInt(WORK_SPREAD_MILLIS), () -> {
                if (!down && incarnation == startedAtMillis) {
                    workEnded(sent);
                }
            });
        }

        private void leave(Sent sent) {
            if (running.contains(sent)) {
                abandoned.add(sent);
                sent.entry().abandoned(sent);
            }
        }

        private void workEnded(Sent sent) {
            int harmful = sent.call().harmful();
            if (harmful >= 0) {
                crashes[harmful]++;
                thirdCrashMillis[harmful] =
                        crashes[harmful] == CRASHES_UNTIL_COUNTED ? loop.nowMillis() : thirdCrashMillis[harmful];
                crash();
            } else {
                running.remove(sent);
                loop.after(LINK_MILLIS, () -> sent.entry().answered(sent.call()));
            }
        }

        void crash() {
            if (down) {
                return;
            }
            down = true;
            for (Sent sent : running) {
                if (!abandoned.contains(sent)) {
                    loop.after(LINK_MILLIS, () -> sent.entry().lost(sent));
                }
            }
            running.clear();
            abandoned.clear();
            loop.after(RESTART_MILLIS + random.nextInt(CALLER_RETRY_SPREAD_MILLIS), () -> {
                startedAtMillis++;
                down = false;
                if (load.trouble() == PlainServiceLoad.Trouble.NONE) {
                    list();
                } else {
                    loop.after(MIN_LISTING_MILLIS + random.nextInt(LISTING_SPREAD_MILLIS), this::list);
                }
            });
        }

        private void list() {
            listed = entry();
            entries.forEach(entry -> entry.monitor.registered(listed));
        }
    }

    private void relay(StrikeFrame frame) {
        if (load.trouble() == PlainServiceLoad.Trouble.SIDES_LOST) {
            return;
        }
        loop.after(LINK_MILLIS, () -> relay.received(frame)
                .forEach(passedOn -> entries.forEach(
                        entry -> loop.after(LINK_MILLIS, () -> entry.quarantine.strikeReceived(passedOn)))));
    }

    private Entry anyEntry() {
        return entries.get(random.nextInt(entries.size()));
    }

    Result run() {
        for (int number = 0; number < load.servers(); number++) {
            servers.add(new Server(number));
        }
        for (int number = 0; number < load.entries(); number++) {
            entries.add(new Entry());
        }
        if (load.trouble() == PlainServiceLoad.Trouble.SIDES_LOST) {
            entries.stream().skip(1).forEach(entry -> entry.connectTo(entries.get(0)));
        }
        Arrays.fill(thirdCrashMillis, DURATION_MILLIS);
        entries.forEach(Entry::tick);
        arriveSound(load.safePerSecond(), 2);
        arriveSound(load.unsafePerSecond(), 1);
        if (load.harmfulRequests() > 0) {
            loop.after(HARM_STARTS_MILLIS, this::arriveHarmful);
        }
        if (load.failuresPerSecond() > 0) {
            loop.after(HARM_STARTS_MILLIS, this::failAll);
        }
        loop.after(HARM_STARTS_MILLIS, this::countServersUp);
        loop.runUntil(DURATION_MILLIS);
        int late = Arrays.stream(lateArrivals).max().orElse(0);
        double upShare = (double) serverMillisUp / load.servers() / (DURATION_MILLIS - HARM_STARTS_MILLIS);
        return new Result(
                sound, soundRefused + soundExpired, late, Arrays.stream(crashes).sum(), upShare);
    }

    private void countServersUp() {
        serverMillisUp +=
                TICK_MILLIS * servers.stream().filter(server -> !server.down).count();
        loop.after(TICK_MILLIS, this::countServersUp);
    }

    /** End all servers, within a few milliseconds as connections break one after the other. */
    private void failAll() {
        servers.forEach(server -> loop.after(random.nextInt(FAILURE_SPREAD_MILLIS), server::crash));
        loop.after(loop.exponentialMillis(load.failuresPerSecond()), this::failAll);
    }

    private static List<String> keysOf(String request) {
        return List.of("request:" + request, "answer:" + request);
    }

    private void arriveSound(double perSecond, int entryAttempts) {
        loop.after(loop.exponentialMillis(perSecond), () -> {
            sound++;
            boolean isPopular = entryAttempts > 1 && random.nextDouble() < load.popularShare();
            String request = isPopular ? "popular" : "sound" + loop.eventCount();
            anyEntry().submit(new Call(keysOf(request), -1, entryAttempts, 1));
            arriveSound(perSecond, entryAttempts);
        });
    }

    private void arriveHarmful() {
        int number = random.nextInt(load.harmfulRequests());
        anyEntry().submit(new Call(keysOf("harmful" + number), number, 2, 1));
        loop.after(loop.exponentialMillis(load.harmfulPerSecond()), this::arriveHarmful);
    }
}
