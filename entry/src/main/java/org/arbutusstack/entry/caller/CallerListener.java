package org.arbutusstack.entry.caller;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import org.arbutusstack.entry.router.Answers;
import org.arbutusstack.entry.router.CallerRequest;
import org.arbutusstack.entry.router.RouterService;
import org.arbutusstack.http.server.HttpServers;
import org.arbutusstack.http.server.ResponseStream;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;

/**
 * Listens for callers and hands their requests to the router.
 *
 * <p>Register it with the kernel after the router, so that it stops taking requests first.
 */
public final class CallerListener implements Service {

    private static final int IO_THREADS = 2;

    private final RouterService router;

    private final LogReplica replica;

    private final CallerParser parser;

    private final Undertow server;

    /**
     * Creates the listener.
     *
     * @param address the IP number to listen on
     * @param port the port
     * @param longestBodyBytes the longest body taken
     * @param defaultDeadlineMillis the deadline of a request that names none
     * @param incarnation the name of this run of the process
     * @param router takes the requests
     * @param replica this process's copy of the ticket log
     * @param clock the clock of the process
     */
    public CallerListener(
            String address,
            int port,
            long longestBodyBytes,
            long defaultDeadlineMillis,
            String incarnation,
            RouterService router,
            LogReplica replica,
            Clock clock) {
        this.router = Assert.notNull(router, "router");
        this.replica = Assert.notNull(replica, "replica");
        this.parser = new CallerParser(incarnation, clock, defaultDeadlineMillis);
        this.server = HttpServers.build(address, port, IO_THREADS, longestBodyBytes, this::receive);
    }

    @Override
    public String name() {
        return "callers";
    }

    @Override
    public void start() {
        server.start();
    }

    private void receive(HttpServerExchange exchange) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        this::received,
                        (failed, failure) -> ResponseStream.open(
                                failed,
                                response -> Answers.refuse(
                                        response,
                                        "",
                                        Refusal.rejected(
                                                RefusalReason.TOO_LARGE, "the body is too large or broke off"))));
    }

    private void received(HttpServerExchange exchange, byte[] body) {
        ResponseStream.open(exchange, response -> {
            CallerParser.ParseResult result = parser.parse(exchange, body, replica.state(), response);
            if (result instanceof CallerParser.ParseResult.Refused refused) {
                Answers.refuse(response, "", refused.refusal());
            } else if (result instanceof CallerParser.ParseResult.Parsed parsed) {
                submit(parsed.request());
            }
        });
    }

    private void submit(CallerRequest request) {
        request.response().onClose(() -> router.callerGone(request.id()));
        if (!router.submit(request)) {
            Refusal refusal = Refusal.notRun(RefusalReason.QUEUE_FULL, "this entry takes no more requests now");
            Answers.refuse(request.response(), request.id().toString(), refusal);
        }
    }

    @Override
    public void stop() {
        server.stop();
    }
}
