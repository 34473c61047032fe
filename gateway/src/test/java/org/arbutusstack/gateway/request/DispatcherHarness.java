package org.arbutusstack.gateway.request;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.arbutusstack.gateway.allotment.AllotmentGate;
import org.arbutusstack.gateway.allotment.AllotmentShare;
import org.arbutusstack.gateway.allotment.KeeperLinks;
import org.arbutusstack.gateway.config.Route;
import org.arbutusstack.gateway.config.RouteKind;
import org.arbutusstack.gateway.config.Team;
import org.arbutusstack.gateway.pressure.Backpressure;
import org.arbutusstack.gateway.quarantine.ContentQuarantine;
import org.arbutusstack.gateway.quarantine.CrashMonitor;
import org.arbutusstack.gateway.quarantine.TrialSchedule;
import org.arbutusstack.gateway.runner.PermitClient;
import org.arbutusstack.gateway.runner.RunnerEntry;
import org.arbutusstack.gateway.runner.RunnerTable;
import org.arbutusstack.gateway.stream.StreamOrigins;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.wire.frame.Frame;

/** Runs a dispatcher with fake callers and fake runners on a manual clock. */
final class DispatcherHarness {

    static final String PLAIN = "orderdesk";

    static final String ENGINE = "stitch-lm";

    /** Engine slots of the replayed deployment, "large". */
    private static final int ENGINE_SLOTS = 16;

    private static final long TIMEOUT_MILLIS = 1_000;

    private static final long MAX_HELD_ANSWER_BYTES = 16_000_000;

    private static final long MAX_PROMPT_HOLD_MILLIS = 500;

    private static final long MAX_HELD_BYTES = 48_000_000;

    final ManualClock clock = new ManualClock(1_000_000_000L);

    final PrometheusRegistry registry = new PrometheusRegistry();

    final RunnerTable table = new RunnerTable(clock);

    final FakeRunners runners = new FakeRunners();

    final ContentQuarantine quarantine;

    final CrashMonitor crashMonitor;

    final Backpressure backpressure;

    /** Gate of the only entry, without a keeper. */
    final AllotmentGate allotments;

    /** The team of the requests that are sent. */
    Optional<Team> team = Optional.empty();

    final FakeProbe probe = new FakeProbe();

    /** Requests for permits, which the test answers. */
    final List<Frame> permitRequests = new ArrayList<>();

    final ZoneCandidates zones;

    final StreamOrigins origins;

    final RequestDispatcher dispatcher;

    /** The shared prompt parts of the requests that are sent. */
    List<String> sharedParts = List.of();

    /** The body of the requests that are sent. */
    byte[] body = new byte[0];

    /** The last event that the callers of the requests that are sent have. */
    String resumedEventId = "";

    /** The request that brought the first event of the stream that the requests that are sent take up. */
    String resumedRequestId = "";

    /** Begins the identifiers of the requests that are sent. */
    String idPrefix = "q";

    private int number;

    DispatcherHarness() {
        this(RetryLimits.ofFleet(1, 160));
    }

    DispatcherHarness(RetryLimits limits) {
        this(limits, MAX_HELD_ANSWER_BYTES);
    }

    DispatcherHarness(RetryLimits limits, long maxHeldAnswerBytes) {
        this(limits, maxHeldAnswerBytes, 0);
    }

    DispatcherHarness(RetryLimits limits, long maxHeldAnswerBytes, long zonePenaltyMillis) {
        this(limits, maxHeldAnswerBytes, zonePenaltyMillis, new FakeSides());
    }

    /** Create an entry that is linked to sides, which it may share with others. */
    DispatcherHarness(FakeSides sides) {
        this(RetryLimits.ofFleet(1, 160), MAX_HELD_ANSWER_BYTES, 0, sides);
    }

    private DispatcherHarness(RetryLimits limits, long maxHeldAnswerBytes, long zonePenaltyMillis, FakeSides sides) {
        PermitClient permits = new PermitClient("edge-1", table, (runner, frame) -> permitRequests.add(frame), () -> 4);
        backpressure = new Backpressure(MAX_HELD_BYTES, true, clock, registry);
        AllotmentShare share = new AllotmentShare(() -> 1, () -> 1, clock);
        allotments = new AllotmentGate("edge-1", new NoKeepers(), share, clock, registry);
        quarantine = new ContentQuarantine(
                (host, frame) -> {}, () -> false, new TrialSchedule("edge-1", () -> 1, clock), clock, registry);
        crashMonitor = new CrashMonitor(probe, server -> "/health", quarantine::strikeReceived, clock, registry);
        zones = new ZoneCandidates("regina", zonePenaltyMillis, clock);
        origins = new StreamOrigins(sides, () -> sides.linkedPart, table, clock);
        dispatcher = RequestDispatchers.create(
                new RoutingContext(table, zones, origins),
                runners,
                FakeCaller.PORT,
                clock,
                new AttemptLimits(
                        limits, permits, allotments, maxHeldAnswerBytes, backpressure, MAX_PROMPT_HOLD_MILLIS),
                new GatewayMetrics(registry),
                quarantine,
                crashMonitor);
    }

    RunnerEntry runner(String id, String service, String... models) {
        return runnerIn("regina", id, service, models);
    }

    RunnerEntry runnerIn(String zone, String id, String service, String... models) {
        RunnerEntry entry = new RunnerEntry(
                id, service, new HttpTarget("10.0.0." + (table.all().size() + 1), 80), zone, 1, 8, false, Map.of());
        if (models.length > 0) {
            Map<String, Set<String>> held = new java.util.HashMap<>();
            for (String model : models) {
                held.put(model, Set.of());
            }
            entry = new RunnerEntry(id, service, entry.address(), entry.zone(), 1, ENGINE_SLOTS, false, held);
        }
        table.put(entry);
        return entry;
    }

    RunnerEntry runnerOfVersion(String version, String id, String service, String... models) {
        RunnerEntry entry = runner(id, service, models);
        RunnerEntry versioned = new RunnerEntry(
                id, service, entry.address(), entry.zone(), 1, entry.slots(), false, entry.adaptersByModel(), version);
        table.put(versioned);
        return versioned;
    }

    static Route route(RouteKind kind, String service, int maxAttempts, boolean resumable) {
        return new Route(
                "r",
                "h",
                "/p/",
                kind,
                TIMEOUT_MILLIS,
                100,
                100,
                1,
                List.of(new Route.WeightedService(service, 1)),
                maxAttempts,
                false,
                resumable,
                false);
    }

    static Route slowRoute() {
        return new Route(
                "r",
                "h",
                "/p/",
                RouteKind.STREAMING,
                20_000,
                2_000,
                300,
                1,
                List.of(new Route.WeightedService(ENGINE, 1)),
                1,
                false,
                false,
                false);
    }

    FakeCaller send(RouteKind kind, boolean resumable) {
        return send(route(kind, PLAIN, 2, resumable), "");
    }

    FakeCaller send(Route route, String model) {
        return send(route, model, "");
    }

    FakeCaller send(Route route, String model, String adapter) {
        return send(route, model, adapter, null);
    }

    FakeCaller send(Route route, String model, String adapter, Team requestTeam) {
        number++;
        FakeCaller caller = new FakeCaller();
        dispatcher.submit(
                new InboundRequest(
                        idPrefix + number,
                        "POST",
                        "/p/x",
                        Map.of(),
                        body,
                        route,
                        route.serviceFor(0),
                        Optional.ofNullable(requestTeam).or(() -> team),
                        model,
                        adapter,
                        100,
                        10,
                        0,
                        sharedParts,
                        resumedEventId,
                        resumedRequestId,
                        clock.nowNanos(),
                        clock.deadlineNanos(route.timeoutMillis()),
                        route.urgency()),
                caller);
        return caller;
    }

    /** Earn retries by requests that are answered at once. */
    void earnRetries(int count) {
        for (int index = 0; index < count; index++) {
            send(RouteKind.SAFE, false);
            runners.last().answer(200, AnswerKind.ATTESTED, "ok");
        }
    }

    /** Links of an entry without a side. */
    private static final class NoKeepers implements KeeperLinks {

        @Override
        public Optional<String> firstInRank(String key, Predicate<String> usable) {
            return Optional.empty();
        }

        @Override
        public boolean isOpen(String host) {
            return false;
        }

        @Override
        public boolean send(String host, Frame frame) {
            return false;
        }
    }
}
