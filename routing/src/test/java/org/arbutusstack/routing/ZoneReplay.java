package org.arbutusstack.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.kernel.time.Clock;

/** Replays requests of three availability zones in virtual time, with what each entry knows of the servers. */
final class ZoneReplay {

    static final List<String> ZONES = List.of("a", "b", "c");

    static final double TARGET_MILLIS = 400;

    static final int SERVERS_PER_ZONE = 8;

    /** Requests per second that the servers of one zone can begin. */
    static final double CAPACITY = SERVERS_PER_ZONE * 25;

    private static final long PENALTY_MILLIS = 20;

    private static final double PROMPT_MILLIS = TimeUnit.SECONDS.toMillis(1) * SERVERS_PER_ZONE / CAPACITY;

    private static final double STREAM_MILLIS = 1_000;

    private static final int SLOTS = 48;

    private static final double STATUS_MILLIS = 200;

    private static final double FRESH_MILLIS = 60;

    /** Rules by which a runner is chosen. */
    enum Rule {
        OVERFLOW,
        TODAY,
        NEVER_LEAVE,
        LEAST_LOADED
    }

    /** What happens during a replay; times are in milliseconds. */
    interface Load {

        double perSecond(String zone, double atMillis);

        default int entriesPerZone() {
            return 4;
        }

        default boolean isUp(String zone, int server, double atMillis) {
            return true;
        }

        default boolean holds(String zone, int server, double atMillis) {
            return true;
        }

        /** Return the factor by which a server is slower than usual. */
        default double slowness(String zone, int server, double atMillis) {
            return 1;
        }

        /** Return the one-way delay between two different zones. */
        default double linkMillis(double atMillis) {
            return 3;
        }
    }

    /** Server that reads prompts one after the other. */
    private static final class Server {

        private final String zone;

        private final int number;

        private final List<Double> firstEvents = new ArrayList<>();

        private final PriorityQueue<Double> ends = new PriorityQueue<>();

        private double freeAtMillis;

        Server(String zone, int number) {
            this.zone = zone;
            this.number = number;
        }

        double begin(double atMillis, double workMillis) {
            ends.removeIf(end -> end <= atMillis);
            double slotAtMillis = ends.size() < SLOTS ? atMillis : ends.poll();
            freeAtMillis = Math.max(slotAtMillis, freeAtMillis) + workMillis;
            firstEvents.removeIf(event -> event < atMillis - STREAM_MILLIS);
            firstEvents.add(freeAtMillis);
            ends.add(freeAtMillis + STREAM_MILLIS);
            return freeAtMillis;
        }

        int queued(double atMillis) {
            return (int) firstEvents.stream().filter(event -> event > atMillis).count();
        }

        int running(double atMillis) {
            return (int) firstEvents.stream()
                    .filter(event -> event <= atMillis && event + STREAM_MILLIS > atMillis)
                    .count();
        }
    }

    /** Server as one entry knows it. */
    private static final class Known {

        private final Server server;

        private final FirstEventEstimator estimate = new FirstEventEstimator();

        private double atMillis = -STATUS_MILLIS;

        private int queued;

        private int running;

        Known(Server server) {
            this.server = server;
        }

        void refresh(double nowMillis, double delayMillis) {
            atMillis = nowMillis;
            queued = server.queued(nowMillis - delayMillis);
            running = server.running(nowMillis - delayMillis);
        }

        String id() {
            return server.zone + server.number;
        }

        RunnerView view() {
            return new RunnerView(id(), "s", server.zone, Set.of("m"), Set.of(), queued + running, 0);
        }

        long firstEventMillis() {
            return estimate.millis(queued, running, SLOTS);
        }
    }

    /** Entry with its decision and the answers that are still to come. */
    private static final class Entry {

        private final String zone;

        private final ZoneOverflow overflow;

        private final TwoChoiceSelector selector;

        private final List<Known> known;

        private final PriorityQueue<Answer> answers = new PriorityQueue<>(Comparator.comparingDouble(Answer::atMillis));

        Entry(String zone, List<Server> servers) {
            this.zone = zone;
            this.overflow = new ZoneOverflow(zone, PENALTY_MILLIS);
            this.selector = new TwoChoiceSelector(zone);
            this.known = servers.stream().map(Known::new).toList();
        }
    }

    /** First event that an entry receives. */
    private record Answer(double atMillis, Known known, int ahead, long millis) {}

    /** Counts of requests by zone of the entry. */
    static final class Result {

        private final int[][] counts = new int[ZONES.size()][3];

        /** Shares that left the first zone, by second. */
        private final List<Double> leftBySecond = new ArrayList<>();

        double shareLeft(String zone) {
            int[] count = counts[ZONES.indexOf(zone)];
            return count[1] / (double) count[0];
        }

        double shareInTime(String zone) {
            int[] count = counts[ZONES.indexOf(zone)];
            return count[2] / (double) count[0];
        }

        /** Return the largest share that left the first zone within one second, after a number of seconds. */
        double largestShareLeft(int afterSeconds) {
            return leftBySecond.stream().skip(afterSeconds).max(Double::compare).orElseThrow();
        }

        double inTime() {
            return Arrays.stream(counts).mapToInt(count -> count[2]).sum()
                    / (double) Arrays.stream(counts).mapToInt(count -> count[0]).sum();
        }

        double worstZone() {
            return ZONES.stream().mapToDouble(this::shareInTime).min().orElseThrow();
        }

        String describe(String load, Rule rule) {
            StringBuilder line = new StringBuilder(String.format("%-28s %-13s", load, rule));
            for (String zone : ZONES) {
                line.append(String.format(" | %s left %.3f in time %.3f", zone, shareLeft(zone), shareInTime(zone)));
            }
            return line.toString();
        }
    }

    private final Load load;

    private final Rule rule;

    private final SplittableRandom random;

    private final List<Server> servers = new ArrayList<>();

    private final List<Entry> entries = new ArrayList<>();

    ZoneReplay(Load load, Rule rule, long seed) {
        this.load = load;
        this.rule = rule;
        this.random = new SplittableRandom(seed);
        for (int number = 0; number < SERVERS_PER_ZONE; number++) {
            for (String zone : ZONES) {
                servers.add(new Server(zone, number));
            }
        }
        for (int number = 0; number < load.entriesPerZone(); number++) {
            ZONES.forEach(zone -> entries.add(new Entry(zone, servers)));
        }
    }

    /** Replay up to an instant, and count the requests that arrive from another instant on. */
    Result run(double fromMillis, double untilMillis) {
        Result result = new Result();
        int[] before = new int[3];
        for (double nowMillis = 0; nowMillis < untilMillis; nowMillis++) {
            int[] first = result.counts[0];
            if (nowMillis % TimeUnit.SECONDS.toMillis(1) == 0 && first[0] > before[0]) {
                result.leftBySecond.add((first[1] - before[1]) / (double) (first[0] - before[0]));
                before = first.clone();
            }
            for (String zone : ZONES) {
                double expected = load.perSecond(zone, nowMillis) / TimeUnit.SECONDS.toMillis(1);
                for (double rest = expected; random.nextDouble() < rest; rest--) {
                    int number = random.nextInt(load.entriesPerZone());
                    Entry entry = entries.get(ZONES.size() * number + ZONES.indexOf(zone));
                    int[] counts = nowMillis < fromMillis ? new int[3] : result.counts[ZONES.indexOf(zone)];
                    send(entry, nowMillis, counts);
                }
            }
        }
        return result;
    }

    private double delayMillis(Entry entry, Server server, double atMillis) {
        return entry.zone.equals(server.zone) ? 0.3 : load.linkMillis(atMillis);
    }

    /** Return the delay that an entry has measured: that of the status request that was answered last. */
    private double measuredMillis(Entry entry, Server server, double nowMillis) {
        double roundTripMillis = 2 * delayMillis(entry, server, nowMillis);
        return 2 * delayMillis(entry, server, nowMillis - roundTripMillis);
    }

    private void send(Entry entry, double nowMillis, int[] counts) {
        counts[0]++;
        while (!entry.answers.isEmpty() && entry.answers.peek().atMillis() <= nowMillis) {
            Answer answer = entry.answers.poll();
            answer.known().estimate.observed(answer.ahead(), answer.millis());
        }
        List<Known> holders = new ArrayList<>();
        for (Known known : entry.known) {
            Server server = known.server;
            if (load.isUp(server.zone, server.number, nowMillis) && load.holds(server.zone, server.number, nowMillis)) {
                refresh(entry, known, nowMillis, STATUS_MILLIS);
                holders.add(known);
            }
        }
        Known chosen = choose(entry, restrict(entry, holders, nowMillis), nowMillis);
        if (chosen == null) {
            return;
        }
        Server server = chosen.server;
        double delayMillis = delayMillis(entry, server, nowMillis);
        double workMillis = PROMPT_MILLIS
                * (0.25 + 1.5 * random.nextDouble())
                * load.slowness(server.zone, server.number, nowMillis);
        double firstEventMillis = server.begin(nowMillis + delayMillis, workMillis) + delayMillis - nowMillis;
        entry.answers.add(
                new Answer(nowMillis + firstEventMillis, chosen, chosen.queued, Math.round(firstEventMillis)));
        chosen.queued++;
        counts[1] += server.zone.equals(entry.zone) ? 0 : 1;
        counts[2] += firstEventMillis <= TARGET_MILLIS ? 1 : 0;
    }

    private void refresh(Entry entry, Known known, double nowMillis, double maxAgeMillis) {
        if (nowMillis - known.atMillis >= maxAgeMillis) {
            known.refresh(nowMillis, delayMillis(entry, known.server, nowMillis));
        }
    }

    private List<Known> restrict(Entry entry, List<Known> holders, double nowMillis) {
        if (rule == Rule.OVERFLOW) {
            List<RunnerOutlook> outlooks = holders.stream()
                    .map(known -> new RunnerOutlook(
                            known.server.zone,
                            known.firstEventMillis(),
                            measuredMillis(entry, known.server, nowMillis),
                            SLOTS,
                            known.queued + known.running >= SLOTS))
                    .toList();
            ZoneDemand demand = new ZoneDemand(random.nextDouble(), 1_000, (long) TARGET_MILLIS);
            Set<String> zones = entry.overflow
                    .decide("m", outlooks, demand, (long) (nowMillis * Clock.NANOS_PER_MILLI))
                    .zones();
            return holders.stream()
                    .filter(known -> zones.contains(known.server.zone))
                    .toList();
        }
        List<Known> own = holders.stream()
                .filter(known -> known.server.zone.equals(entry.zone))
                .toList();
        return rule == Rule.NEVER_LEAVE && !own.isEmpty() ? own : holders;
    }

    /** Return the better of two runners, or the fastest one if that is too slow, or {@code null} if all are. */
    private Known choose(Entry entry, List<Known> candidates, double nowMillis) {
        if (rule == Rule.LEAST_LOADED) {
            return candidates.stream()
                    .min(Comparator.comparingInt(known -> known.queued + known.running))
                    .orElse(null);
        }
        RoutingRequest needs = new RoutingRequest("s", "m", "");
        List<RunnerView> views = candidates.stream().map(Known::view).toList();
        List<RunnerView> pair = entry.selector.candidates(needs, random.nextLong(), views);
        pair.forEach(view -> refresh(entry, named(candidates, view), nowMillis, FRESH_MILLIS));
        Known better = named(
                candidates,
                entry.selector.better(pair.stream()
                        .map(view -> named(candidates, view).view())
                        .toList()));
        return better.firstEventMillis() <= TARGET_MILLIS
                ? better
                : candidates.stream()
                        .filter(known -> known.firstEventMillis() <= TARGET_MILLIS)
                        .min(Comparator.comparingLong(Known::firstEventMillis))
                        .orElse(null);
    }

    private static Known named(List<Known> candidates, RunnerView view) {
        return candidates.stream()
                .filter(known -> known.id().equals(view.name()))
                .findFirst()
                .orElseThrow();
    }
}
