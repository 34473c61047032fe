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
 * HTTP listener for callers, which submits their requests to the router.
 *
 * <p>Has to be registered after the router, so that it drains first: it reports itself not ready, still accepts
 * requests until load balancers have had time to notice, then refuses new ones and waits until all responses have been
 * sent. While draining, it closes each connection after its response. {@link #isReady()} may be called by any thread.
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

    private final AtomicInteger openRequests = new AtomicInteger();

    private volatile boolean draining;

    private volatile boolean refusing;

    /**
     * Create a new {@code CallerListener}.
     *
     * @param address the IP address to listen on
     * @param port the port to listen on
     * @param limits the limits of the listener
     * @param incarnation the incarnation of this process, the prefix of request ids
     * @param router the router that receives the requests
     * @param replica the local replica of the ticket log
     * @param metrics the metrics that count refusals
     * @param clock the process clock
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
        this.server =
                HttpServers.build(address, port, IO_THREADS, limits.maxBodyBytes(), limits.idleMillis(), this::receive);
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
     * Return whether a load balancer may send requests to this entry.
     *
     * @return {@code true} if the ticket log is known and the process is not draining
     */
    public boolean isReady() {
        return !draining && replica.state().sequence() > 0;
    }

    private void receive(HttpServerExchange exchange) {
        if (draining) {
            exchange.setPersistent(false);
        }
        exchange.getRequestReceiver().receiveFullBytes(this::bodyReceived, this::bodyUnreadable);
    }

    private void bodyUnreadable(HttpServerExchange exchange, IOException failure) {
        UnreadRequest.closeAfterResponse(exchange);
        String detail = "the body is longer than " + limits.maxBodyBytes() + " bytes or broke off";
        ResponseStream.open(exchange, response -> refuse(response, Refusal.rejected(RefusalReason.TOO_LARGE, detail)));
    }

    private void bodyReceived(HttpServerExchange exchange, byte[] body) {
        openRequests.incrementAndGet();
        ResponseStream.open(exchange, response -> {
            response.onFinish(openRequests::decrementAndGet);
            handle(exchange, body, response);
        });
    }

    private void handle(HttpServerExchange exchange, byte[] body, ResponseStream response) {
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
        metrics.refusedOnEntry(refusal);
        CallerResponses.refuse(response, "", refusal);
    }

    private void submit(CallerRequest request) {
        request.response().onClose(() -> router.callerDisconnected(request.id()));
        if (!router.submit(request)) {
            Refusal refusal = Refusal.notRun(RefusalReason.QUEUE_FULL, "this entry takes no more requests now");
            metrics.refusedOnEntry(refusal);
            CallerResponses.refuse(request.response(), request.id().toString(), refusal);
        }
    }

    @Override
    public void drain(long deadlineNanos) {
        draining = true;
        long noticeEndsAtNanos = clock.deadlineNanos(limits.drainNoticeMillis());
        while (!clock.isPast(noticeEndsAtNanos) && !clock.isPast(deadlineNanos)) {
            LockSupport.parkNanos(DRAIN_POLL_MILLIS * Clock.NANOS_PER_MILLI);
        }
        refusing = true;
        while (openRequests.get() > 0 && !clock.isPast(deadlineNanos)) {
            LockSupport.parkNanos(DRAIN_POLL_MILLIS * Clock.NANOS_PER_MILLI);
        }
        logger.info("event=callers-drained open={}", openRequests.get());
    }

    @Override
    public void stop() {
        server.stop();
    }
}
