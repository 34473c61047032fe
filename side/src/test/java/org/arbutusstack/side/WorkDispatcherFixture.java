package org.arbutusstack.side;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.arbutusstack.audit.AuditEvent;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpClient;
import org.arbutusstack.http.client.HttpException;
import org.arbutusstack.http.client.HttpResponseListener;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.http.client.MalformedResponseException;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.model.request.Priority;
import org.arbutusstack.model.request.RequestId;
import org.arbutusstack.side.claim.ClaimLimits;
import org.arbutusstack.side.claim.ClaimMetrics;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.RefusalFrame;
import org.arbutusstack.wire.frame.WorkFrame;
import org.arbutusstack.wire.link.Link;

/** Work dispatcher with a fake link and a fake backend server, both controlled by the test. */
final class WorkDispatcherFixture {

    final ManualClock clock = new ManualClock(1_000_000_000L);

    final FakeClient client = new FakeClient();

    final List<AuditEvent> audited = new ArrayList<>();

    final List<Frame> broadcastFrames = new ArrayList<>();

    final SuspectRequestTracker suspects;

    final WorkRunner runner;

    final WorkDispatcher dispatcher;

    private final Deque<SideEvent> events = new ArrayDeque<>();

    WorkDispatcherFixture(WorkLimits limits) {
        SideIdentity identity = new SideIdentity("lm-1", "stitch-lm", "regina", "inc", new HttpTarget("127.0.0.1", 1));
        BackendClient backend = new BackendClient(client, identity.backend(), clock, 1_000, events::add);
        PrometheusRegistry registry = new PrometheusRegistry();
        ClaimLimits claimLimits = new ClaimLimits(1_000, 10, 100, 1_000);
        ClaimCoordinator claims = new ClaimCoordinator(
                new UnavailableStore(), clock, identity, claimLimits, new ClaimMetrics(registry), events::add);
        AnswerSender answers = new AnswerSender("lm-1", () -> 1L, audited::add, new WorkMetrics(registry));
        suspects = new SuspectRequestTracker("inc", clock, 60_000, broadcastFrames::add, registry);
        WorkRegistry workRegistry = new WorkRegistry();
        runner = new WorkRunner(clock, backend, claims, workRegistry, suspects, answers);
        dispatcher = new WorkDispatcher(clock, backend, runner, workRegistry, suspects, answers, limits);
    }

    static WorkLimits limits(int slots) {
        return new WorkLimits(16, 10_000, slots, 1_000, 5_000, 60_000);
    }

    static WorkFrame frame(long number, int attempt, long leftMillis, Priority priority) {
        return frame(new RequestId("entry", number), attempt, leftMillis, priority, "boot-design");
    }

    static WorkFrame frame(RequestId id, int attempt, long leftMillis, Priority priority, String model) {
        byte[] body = "{\"messages\":[]}".getBytes(StandardCharsets.UTF_8);
        return new WorkFrame(
                id, attempt, leftMillis, priority, "stitch-lm", model, "", true, "", "POST", "/v1", true, 0, body);
    }

    /** Receive a frame, then dispatch the work that can run. */
    void receive(WorkFrame frame, Link link) {
        dispatcher.receive(frame, link);
        dispatcher.dispatch(work -> true);
    }

    /** Handle the events of the backend server, then dispatch the work that can run. */
    void handleEvents() {
        while (!events.isEmpty()) {
            SideEvent event = events.poll();
            if (event instanceof SideEvent.BackendHead head) {
                runner.handleHead(head.work(), head.status(), head.contentType());
            } else if (event instanceof SideEvent.BackendBytes bytes) {
                runner.handleBytes(bytes.work(), bytes.bytes());
            } else if (event instanceof SideEvent.BackendEnded ended) {
                runner.handleEnd(ended.work());
            } else if (event instanceof SideEvent.BackendFailed failed) {
                runner.handleFailure(failed.work(), failed.failure());
            }
        }
        dispatcher.dispatch(work -> true);
    }

    /** Link that records the frames sent. */
    static final class FakeLink implements Link {

        final List<Frame> sent = new ArrayList<>();

        /** Whether no frame can be encoded for the link. */
        boolean isFailing;

        private boolean open = true;

        List<String> refusals() {
            return sent.stream()
                    .filter(RefusalFrame.class::isInstance)
                    .map(RefusalFrame.class::cast)
                    .map(frame -> frame.id().number() + " " + frame.refusal().kind() + " "
                            + frame.refusal().reason())
                    .toList();
        }

        <T extends Frame> List<T> sent(Class<T> type) {
            return sent.stream().filter(type::isInstance).map(type::cast).toList();
        }

        @Override
        public boolean send(Frame frame) {
            if (isFailing) {
                throw new IllegalStateException("the frame cannot be encoded");
            }
            return open && sent.add(frame);
        }

        @Override
        public void close() {
            open = false;
        }

        @Override
        public boolean isOpen() {
            return open;
        }

        @Override
        public long lastReceivedAtNanos() {
            return 0;
        }

        @Override
        public String remote() {
            return "test";
        }
    }

    /** HTTP client that records the calls. */
    static final class FakeClient implements HttpClient {

        final List<Exchange> exchanges = new ArrayList<>();

        /** The identifier of the request that cannot be sent; empty for none. */
        String unsendableId = "";

        List<String> running() {
            return exchanges.stream()
                    .filter(exchange ->
                            !exchange.cancelled && exchange.call.path().equals("/v1"))
                    .map(exchange -> exchange.call.headers().get("X-Request-Id"))
                    .toList();
        }

        List<String> started() {
            return exchanges.stream()
                    .filter(exchange -> exchange.call.path().equals("/v1"))
                    .map(exchange -> exchange.call.headers().get("X-Request-Id"))
                    .toList();
        }

        Exchange last() {
            return exchanges.get(exchanges.size() - 1);
        }

        @Override
        public Cancellable stream(HttpTarget target, HttpCall call, long deadlineNanos, HttpResponseListener listener) {
            if (unsendableId.equals(call.headers().get("X-Request-Id"))) {
                throw new IllegalStateException("the request cannot be sent");
            }
            Exchange exchange = new Exchange(call, listener);
            exchanges.add(exchange);
            return () -> exchange.cancelled = true;
        }

        @Override
        public void close() {}
    }

    /** Call to the backend server. */
    static final class Exchange {

        final HttpCall call;

        final HttpResponseListener listener;

        boolean cancelled;

        Exchange(HttpCall call, HttpResponseListener listener) {
            this.call = call;
            this.listener = listener;
        }

        void head() {
            listener.onHead(200, Map.of("content-type", "text/event-stream"));
        }

        void event(String data) {
            bytes("data: " + data + "\n\n");
        }

        void bytes(String text) {
            listener.onBytes(text.getBytes(StandardCharsets.UTF_8));
        }

        void finish() {
            head();
            event("word");
            event("[DONE]");
            listener.onEnd();
        }

        void sendMalformed() {
            listener.onFailure(new MalformedResponseException("no status line", null));
        }

        void fail() {
            listener.onFailure(new HttpException("lost", true, null));
        }
    }
}
