package org.arbutusstack.entry.ticket;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusstack.audit.AuditEvent;
import org.arbutusstack.audit.AuditTrail;
import org.arbutusstack.entry.EntryIdentity;
import org.arbutusstack.entry.audit.AnchorResult;
import org.arbutusstack.entry.audit.AnchorService;
import org.arbutusstack.entry.member.InForceStatus;
import org.arbutusstack.entry.router.RouterService;
import org.arbutusstack.http.server.HttpServers;
import org.arbutusstack.http.server.Responses;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.ledger.AcceptResult;
import org.arbutusstack.ledger.AcceptedTicket;
import org.arbutusstack.ledger.LogReplica;
import org.arbutusstack.ledger.TicketRefusal;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.ModelException;
import org.arbutusstack.model.ticket.Ticket;
import org.arbutusstack.model.ticket.TicketEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP listener for operators: accepts tickets, and reports on which runners they are in force.
 *
 * <p>Has to be registered after the ticket service and the router.
 */
public final class OperatorListener implements Service {

    private static final Logger logger = LoggerFactory.getLogger(OperatorListener.class);

    private static final int OK = 200;

    private static final int BAD_REQUEST = 400;

    private static final int UNAUTHORIZED = 401;

    private static final int NOT_FOUND = 404;

    private static final int CONFLICT = 409;

    private static final int UNAVAILABLE = 503;

    private static final int GATEWAY_TIMEOUT = 504;

    private static final int MAX_LISTED_TICKETS = 50;

    private static final int TOO_LARGE = 413;

    private static final long MAX_BODY_BYTES = 8L * 1_024 * 1_024;

    private static final String TICKETS = "/tickets";

    private static final String ANCHORS = "/audit/anchors/";

    private final EntryIdentity identity;

    private final OperatorDirectory operators;

    private final TicketService tickets;

    private final AnchorService anchors;

    private final RouterService router;

    private final LogReplica replica;

    private final Clock clock;

    private final AuditTrail trail;

    private final Undertow server;

    /**
     * Create a new {@code OperatorListener}.
     *
     * @param address the IP address to listen on
     * @param port the port to listen on
     * @param identity the identity of this entry
     * @param operators the operators with access
     * @param tickets the service that submits and finds tickets
     * @param anchors the service that reads audit anchors
     * @param router the router, queried for the state of the runners
     * @param replica the local replica of the ticket log
     * @param clock the process clock
     * @param trail the audit trail that records rejected operator requests
     */
    public OperatorListener(
            String address,
            int port,
            EntryIdentity identity,
            OperatorDirectory operators,
            TicketService tickets,
            AnchorService anchors,
            RouterService router,
            LogReplica replica,
            Clock clock,
            AuditTrail trail) {
        this.identity = Assert.notNull(identity, "identity");
        this.operators = Assert.notNull(operators, "operators");
        this.tickets = Assert.notNull(tickets, "tickets");
        this.anchors = Assert.notNull(anchors, "anchors");
        this.trail = Assert.notNull(trail, "trail");
        this.router = Assert.notNull(router, "router");
        this.replica = Assert.notNull(replica, "replica");
        this.clock = Assert.notNull(clock, "clock");
        this.server = HttpServers.build(address, port, 1, MAX_BODY_BYTES, exchange -> exchange.getRequestReceiver()
                .receiveFullBytes(this::receive));
    }

    @Override
    public String name() {
        return "operators";
    }

    @Override
    public void start() {
        server.start();
    }

    private void receive(HttpServerExchange exchange, byte[] body) {
        Optional<String> operator =
                operators.operatorOf(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION));
        if (operator.isEmpty()) {
            logger.warn(
                    "event=operator-refused path={} from={}", exchange.getRequestPath(), exchange.getSourceAddress());
            trail.record(new AuditEvent.OperatorRefused(
                    exchange.getRequestPath(), String.valueOf(exchange.getSourceAddress())));
            error(exchange, UNAUTHORIZED, "unauthorized", "the operators' port needs an operator's token");
            return;
        }
        respond(exchange, operator.get(), body);
    }

    private void respond(HttpServerExchange exchange, String operator, byte[] body) {
        String path = exchange.getRequestPath();
        boolean isPost = exchange.getRequestMethod().toString().equals("POST");
        if (path.equals(TICKETS) && isPost) {
            submit(exchange, operator, body);
        } else if (path.equals(TICKETS)) {
            list(exchange);
        } else if (path.startsWith(TICKETS + "/")) {
            show(exchange, path.substring(TICKETS.length() + 1));
        } else if (path.startsWith(ANCHORS)) {
            sendAnchors(exchange, path.substring(ANCHORS.length()));
        } else if (path.equals("/status")) {
            Responses.json(exchange, OK, router.stateDump());
        } else {
            error(exchange, NOT_FOUND, "unknown_path", "no such path: " + path);
        }
    }

    private void submit(HttpServerExchange exchange, String operator, byte[] body) {
        Ticket ticket;
        try {
            ticket = JsonCodec.read(body, Ticket.class);
        } catch (ModelException malformed) {
            error(exchange, BAD_REQUEST, "malformed", malformed.getMessage());
            return;
        }
        TicketEntry entry = new TicketEntry(ticket, operator, clock.wallMillis(), identity.name());
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> tickets.submit(entry)
                .thenAccept(result -> exchange.getIoThread().execute(() -> respond(exchange, result))));
    }

    private void respond(HttpServerExchange exchange, AcceptResult result) {
        if (result instanceof AcceptResult.Accepted accepted) {
            Responses.json(exchange, OK, JsonCodec.write(describe(accepted.ticket(), accepted.again())));
        } else if (result instanceof AcceptResult.Refused refused) {
            int status = refused.reason() == TicketRefusal.OVERSIZED ? TOO_LARGE : CONFLICT;
            error(exchange, status, refused.reason().label(), refused.detail());
        } else if (result instanceof AcceptResult.NotAccepted notAccepted) {
            error(exchange, UNAVAILABLE, "not_accepted", notAccepted.detail());
        } else if (result instanceof AcceptResult.Undecided undecided) {
            error(exchange, GATEWAY_TIMEOUT, "undecided", undecided.detail());
        }
    }

    private static void error(HttpServerExchange exchange, int status, String reason, String detail) {
        Map<String, Object> error = Map.of("reason", reason, "message", detail);
        Responses.json(exchange, status, JsonCodec.write(Map.of("error", error)));
    }

    private Map<String, Object> describe(AcceptedTicket ticket, boolean again) {
        InForceStatus inForce = router.acknowledgements().inForce(ticket.sequence());
        Map<String, Object> description = new LinkedHashMap<>();
        description.put("number", ticket.entry().ticket().number());
        description.put("sequence", ticket.sequence());
        description.put("operator", ticket.entry().operator());
        description.put("submittedAtMillis", ticket.entry().submittedAtMillis());
        description.put("acceptedBy", ticket.entry().acceptedBy());
        description.put("digest", ticket.entry().digest().hex());
        description.put("chain", ticket.chain().hex());
        description.put("again", again);
        description.put("inForceOn", inForce.acknowledged());
        description.put("runners", inForce.runners());
        description.put("notInForceOn", inForce.missing());
        inForce.everywhereByMillis().ifPresent(millis -> description.put("inForceEverywhereByMillis", millis));
        return description;
    }

    private void list(HttpServerExchange exchange) {
        List<Map<String, Object>> all = replica.latest(MAX_LISTED_TICKETS).stream()
                .map(ticket -> describe(ticket, false))
                .toList();
        Responses.json(exchange, OK, JsonCodec.write(Map.of("tickets", all)));
    }

    private void show(HttpServerExchange exchange, String text) {
        long number;
        try {
            number = Long.parseLong(text);
        } catch (NumberFormatException malformed) {
            error(exchange, BAD_REQUEST, "malformed", "the ticket's number must be a whole number");
            return;
        }
        Optional<AcceptedTicket> retained = replica.ticket(number);
        if (retained.isPresent()) {
            show(exchange, number, retained);
            return;
        }
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> tickets.find(number)
                .thenAccept(found -> exchange.getIoThread().execute(() -> show(exchange, number, found))));
    }

    private void show(HttpServerExchange exchange, long number, Optional<AcceptedTicket> found) {
        if (found.isEmpty()) {
            error(exchange, NOT_FOUND, "unknown_ticket", "no ticket " + number + " is known here");
            return;
        }
        Map<String, Object> description = describe(found.get(), false);
        description.put("ticket", found.get().entry().ticket());
        Responses.json(exchange, OK, JsonCodec.write(description));
    }

    private void sendAnchors(HttpServerExchange exchange, String process) {
        if (process.isBlank() || process.contains("/")) {
            error(exchange, BAD_REQUEST, "malformed", "the path must end with the name of a host");
            return;
        }
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> anchors.anchors(process)
                .thenAccept(result -> exchange.getIoThread().execute(() -> respond(exchange, result))));
    }

    private static void respond(HttpServerExchange exchange, AnchorResult result) {
        if (result instanceof AnchorResult.Found found) {
            Responses.json(exchange, OK, JsonCodec.write(Map.of("anchors", found.anchors())));
        } else if (result instanceof AnchorResult.Unavailable unavailable) {
            error(exchange, UNAVAILABLE, "unavailable", unavailable.detail());
        }
    }

    @Override
    public void stop() {
        server.stop();
    }
}
