package org.arbutusstack.entry.router;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.audit.AuditEvent;
import org.arbutusstack.entry.EntryIdentity;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.model.host.Host;
import org.arbutusstack.model.host.HostList;
import org.arbutusstack.model.host.HostRole;
import org.arbutusstack.model.host.HostStatus;
import org.arbutusstack.model.request.Priority;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RequestId;
import org.arbutusstack.routing.LeastOutstandingSelector;
import org.arbutusstack.routing.RoutingRequest;
import org.arbutusstack.wire.frame.AnswerHeadFrame;
import org.arbutusstack.wire.frame.AnswerPartFrame;
import org.arbutusstack.wire.frame.RefusalFrame;
import org.arbutusstack.wire.frame.SideReportFrame;
import org.arbutusstack.wire.frame.WorkFrame;
import org.arbutusstack.wire.link.Link;
import org.arbutusstack.wire.link.LinkListener;
import org.arbutusstack.wire.link.LinkTransport;

/** Test harness for a {@link RequestTable} with fake links and a manual clock. */
final class TableHarness {

    static final String MODEL = "boot-design@v1";

    static final long DEADLINE_MILLIS = 10_000;

    private static final RouterLimits LIMITS =
            new RouterLimits(16, 50, 4, 4, 20, 100, 4 * 1_048_576, 16 * 1_048_576, 1_000, 2_000, 1_000);

    final ManualClock clock = new ManualClock();

    final Map<String, FakeLink> links = new HashMap<>();

    final List<AuditEvent> events = new ArrayList<>();

    final SideDirectory sides;

    final RequestTable table;

    private final Map<Integer, String> namesByPort = new HashMap<>();

    /** The port to which no link can be opened; zero for none. */
    int failingPort;

    private long nextNumber = 1;

    TableHarness(String... names) {
        EntryIdentity identity = new EntryIdentity("entry-1", "regina", "inc1");
        RouterMetrics metrics = new RouterMetrics(new PrometheusRegistry());
        sides = new SideDirectory(identity, new FakeTransport(), clock, LIMITS, metrics, event -> true);
        RequestOutcomeRecorder outcomes = new RequestOutcomeRecorder(metrics, events::add, () -> 1, clock);
        table = new RequestTable(sides, new LeastOutstandingSelector(), clock, LIMITS, metrics, outcomes);
        List<Host> hosts = new ArrayList<>();
        for (int index = 0; index < names.length; index++) {
            namesByPort.put(index + 1, names[index]);
            hosts.add(new Host(
                    names[index],
                    HostRole.SIDE,
                    "stitch-lm",
                    "prairie",
                    "regina",
                    "127.0.0.1",
                    index + 1,
                    HostStatus.LIVE));
        }
        sides.hostsChanged(new HostList(hosts));
        hosts.forEach(host -> open(host.name()));
    }

    void open(String name) {
        SideConnection side = sides.byName(name);
        sides.opened(side.host(), side.link());
        side.report(report());
    }

    private static SideReportFrame report() {
        return new SideReportFrame(1, 1, 1, 1, 1, 1, 0, 0, List.of(MODEL), List.of(), List.of(), Map.of(), false);
    }

    SideConnection side(String name) {
        return sides.byName(name);
    }

    /** Close the link of a side and fail the requests sent over it. */
    void lose(String name) {
        SideConnection side = sides.closed(side(name).host(), side(name).link());
        table.sideDisconnected(side);
    }

    CallerRequest submit(boolean idempotent, boolean stream) {
        CallerRequest request = new CallerRequest(
                new RequestId("inc1", nextNumber++),
                clock.deadlineNanos(DEADLINE_MILLIS),
                Priority.NORMAL,
                new RoutingRequest("stitch-lm", MODEL, ""),
                "boot-design",
                "",
                1,
                idempotent,
                "key",
                "POST",
                "/v1/chat/completions",
                stream,
                new byte[0],
                new FakeSink());
        table.accept(request);
        return request;
    }

    static FakeSink sink(CallerRequest request) {
        return (FakeSink) request.response();
    }

    /** Return the side that received the latest attempt of a request. */
    String sideOf(CallerRequest request) {
        String found = null;
        int latest = 0;
        for (String name : links.keySet()) {
            for (WorkFrame work : links.get(name).sent(WorkFrame.class)) {
                if (work.id().equals(request.id()) && work.attempt() > latest) {
                    latest = work.attempt();
                    found = name;
                }
            }
        }
        return found;
    }

    WorkFrame work(CallerRequest request) {
        return links.get(sideOf(request)).sent(WorkFrame.class).stream()
                .filter(frame -> frame.id().equals(request.id()))
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    void receipt(CallerRequest request) {
        table.receiptReceived(request.id(), work(request).attempt(), side(sideOf(request)));
    }

    void head(CallerRequest request, int status, String contentType) {
        head(request, status, contentType, "v1");
    }

    void head(CallerRequest request, int status, String contentType, String version) {
        AnswerHeadFrame frame = new AnswerHeadFrame(
                request.id(), work(request).attempt(), status, contentType, sideOf(request), version, 1);
        table.headReceived(frame, side(sideOf(request)));
    }

    void part(CallerRequest request, long offset, int units, String text, boolean last) {
        part(request, work(request).attempt(), sideOf(request), offset, units, text, last);
    }

    void part(CallerRequest request, int attempt, String name, long offset, int units, String text, boolean last) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        table.partReceived(new AnswerPartFrame(request.id(), attempt, offset, units, bytes, last), side(name));
    }

    void refuse(CallerRequest request, Refusal refusal) {
        table.refusalReceived(new RefusalFrame(request.id(), work(request).attempt(), refusal), side(sideOf(request)));
    }

    void passMillis(long millis) {
        clock.advanceMillis(millis);
        links.values().forEach(link -> link.receivedAt(clock.nowNanos()));
        table.tick();
    }

    /** Transport that opens fake links and registers them by the port of the host. */
    private final class FakeTransport implements LinkTransport {

        @Override
        public void listen(InetSocketAddress address, LinkListener listener) {}

        @Override
        public Link connect(InetSocketAddress address, LinkListener listener) {
            if (address.getPort() == failingPort) {
                throw new IllegalStateException("the address cannot be used");
            }
            FakeLink link = new FakeLink();
            links.put(namesByPort.get(address.getPort()), link);
            return link;
        }

        @Override
        public void stop() {}
    }
}
