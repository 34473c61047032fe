package org.arbutusstack.entry.caller;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.arbutusstack.entry.router.CallerRequest;
import org.arbutusstack.entry.router.CallerResponses;
import org.arbutusstack.entry.router.RouterMetrics;
import org.arbutusstack.entry.router.RouterService;
import org.arbutusstack.http.server.HttpServers;
import org.arbutusstack.http.server.ResponseSink;
import org.arbutusstack.http.server.ResponseStream;
import org.arbutusstack.http.server.UnreadRequest;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Listens for callers and hands their requests to the router.
 *
 * <p>Register it with the kernel after the router, so that it drains first: it turns not ready, goes on taking requests
 * until the balancer has had time to see that, then refuses new ones, and waits until every answer has gone out. While
 * it drains, each answer closes its connection. {@link #isReady()} may be called by any thread.
 */
public final class CallerListener implements Service {

    private static final Logger logger = LoggerFactory.getLogger(CallerListener.class);

    private static final int IO_THREADS = 2;

    private static final long DRAIN_POLL_MILLIS = 20;

    private final RouterService router;

    private final LogReplica replica;

    private final CallerRequestParser parser;

    private final CallerLimits limits;

    private final RouterMetrics metrics;

    private final Clock clock;

    private final Undertow server;

    private final AtomicInteger open = new AtomicInteger();

    private volatile boolean draining;

    private volatile boolean refusing;

    /**
     * Creates the listener.
     *
     * @param address the IP number to listen on
     * @param port the port
     * @param limits what the listener keeps within
     * @param incarnation the name of this run of the process
     * @param router takes the requests
     * @param replica this process's copy of the ticket log
     * @param metrics counts refusals
     * @param clock the clock of the process
     */
    public CallerListener(
            String address,
            int port,
            CallerLimits limits,
            String incarnation,
            RouterService router,
            LogReplica replica,
            RouterMetrics metrics,
            Clock clock) {
        this.router = Assert.notNull(router, "router");
        this.replica = Assert.notNull(replica, "replica");
        this.limits = Assert.notNull(limits, "limits");
        this.metrics = Assert.notNull(metrics, "metrics");
        this.clock = Assert.notNull(clock, "clock");
        this.parser = new CallerRequestParser(incarnation, clock, limits);
        this.server = HttpServers.build(
                address, port, IO_THREADS, limits.longestBodyBytes(), limits.idleMillis(), this::receive);
    }

    @Override
    public String name() {
        return "callers";
    }

    @Override
    public void start() {
        server.start();
    }

    /**
     * Tells whether the balancer may send requests here.
     *
     * @return whether tickets are known and the process does not stop
     */
    public boolean isReady() {
        return !draining && replica.state().sequence() > 0;
    }

    private void receive(HttpServerExchange exchange) {
        if (draining) {
            exchange.setPersistent(false);
        }
        exchange.getRequestReceiver().receiveFullBytes(this::received, this::unread);
    }

    private void unread(HttpServerExchange exchange, IOException failure) {
        UnreadRequest.closeAfterResponse(exchange);
        String detail = "the body is longer than " + limits.longestBodyBytes() + " bytes or broke off";
        ResponseStream.open(exchange, response -> refuse(response, Refusal.rejected(RefusalReason.TOO_LARGE, detail)));
    }

    private void received(HttpServerExchange exchange, byte[] body) {
        open.incrementAndGet();
        ResponseStream.open(exchange, response -> {
            response.onFinish(open::decrementAndGet);
            answer(exchange, body, response);
        });
    }

    private void answer(HttpServerExchange exchange, byte[] body, ResponseStream response) {
        if (refusing) {
            refuse(response, Refusal.notRun(RefusalReason.LEAVING, "this entry is leaving"));
            return;
        }
        CallerRequestParser.ParseResult result = parser.parse(exchange, body, replica.state(), response);
        if (result instanceof CallerRequestParser.ParseResult.Refused refused) {
            refuse(response, refused.refusal());
        } else if (result instanceof CallerRequestParser.ParseResult.Parsed parsed) {
            submit(parsed.request());
        }
    }

    private void refuse(ResponseSink response, Refusal refusal) {
        metrics.refusedAtDoor(refusal);
        CallerResponses.refuse(response, "", refusal);
    }

    private void submit(CallerRequest request) {
        request.response().onClose(() -> router.callerGone(request.id()));
        if (!router.submit(request)) {
            Refusal refusal = Refusal.notRun(RefusalReason.QUEUE_FULL, "this entry takes no more requests now");
            metrics.refusedAtDoor(refusal);
            CallerResponses.refuse(request.response(), request.id().toString(), refusal);
        }
    }

    @Override
    public void drain(long deadlineNanos) {
        draining = true;
        long noticeNanos = clock.deadlineNanos(limits.noticeMillis());
        while (!clock.isPast(noticeNanos) && !clock.isPast(deadlineNanos)) {
            LockSupport.parkNanos(DRAIN_POLL_MILLIS * Clock.NANOS_PER_MILLI);
        }
        refusing = true;
        while (open.get() > 0 && !clock.isPast(deadlineNanos)) {
            LockSupport.parkNanos(DRAIN_POLL_MILLIS * Clock.NANOS_PER_MILLI);
        }
        logger.info("event=callers-drained open={}", open.get());
    }

    @Override
    public void stop() {
        server.stop();
    }
}
