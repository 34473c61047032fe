package org.arbutusstack.entry.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.arbutusstack.entry.router.CallerRequest;
import org.arbutusstack.http.server.ResponseSink;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.request.Priority;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.model.request.RequestId;
import org.arbutusstack.model.ticket.AdapterSpec;
import org.arbutusstack.model.ticket.DesiredState;
import org.arbutusstack.model.ticket.ModelSpec;
import org.arbutusstack.model.ticket.ServiceKind;
import org.arbutusstack.model.ticket.ServiceSpec;
import org.arbutusstack.routing.PrefixHash;
import org.arbutusstack.routing.RoutingRequest;

/** Parser that validates HTTP calls and converts them to {@link CallerRequest}s. Thread-safe. */
final class CallerRequestParser {

    static final String COMPLETIONS_PATH = "/v1/chat/completions";

    private static final String SERVICES_PREFIX = "/services/";

    private static final String DEADLINE_HEADER = "X-Deadline-Millis";

    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    private static final String PRIORITY_HEADER = "Priority";

    private static final int MAX_KEY_LENGTH = 256;

    private static final int MAX_PROMPT_CHARACTERS = 1_024;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String incarnation;

    private final Clock clock;

    private final CallerLimits limits;

    private final AtomicLong nextNumber = new AtomicLong(1);

    CallerRequestParser(String incarnation, Clock clock, CallerLimits limits) {
        this.incarnation = Assert.hasText(incarnation, "incarnation");
        this.clock = Assert.notNull(clock, "clock");
        this.limits = Assert.notNull(limits, "limits");
    }

    ParseResult parse(HttpServerExchange exchange, byte[] body, DesiredState state, ResponseSink response) {
        String path = exchange.getRequestPath();
        long deadlineMillis;
        try {
            deadlineMillis = deadlineOf(exchange);
        } catch (NumberFormatException malformed) {
            return malformed(DEADLINE_HEADER + " must be a whole number of milliseconds from 1 to "
                    + limits.maxDeadlineMillis());
        }
        String key = headerOf(exchange, IDEMPOTENCY_KEY_HEADER);
        if (key.length() > MAX_KEY_LENGTH) {
            return malformed(IDEMPOTENCY_KEY_HEADER + " must have at most " + MAX_KEY_LENGTH + " characters");
        }
        RequestAttributes attributes = new RequestAttributes(
                new RequestId(incarnation, nextNumber.getAndIncrement()),
                clock.deadlineNanos(deadlineMillis),
                PriorityHeader.parse(headersOf(exchange, PRIORITY_HEADER)),
                key,
                exchange.getRequestMethod().toString(),
                body,
                response);
        if (path.equals(COMPLETIONS_PATH)) {
            return completion(attributes, state);
        }
        if (path.startsWith(SERVICES_PREFIX)) {
            return serviceCall(attributes, path.substring(SERVICES_PREFIX.length()), state);
        }
        return rejected(RefusalReason.UNKNOWN_TARGET, "no such path: " + path);
    }

    private long deadlineOf(HttpServerExchange exchange) {
        String text = headerOf(exchange, DEADLINE_HEADER);
        if (text.isEmpty()) {
            return limits.defaultDeadlineMillis();
        }
        long millis = Long.parseLong(text.trim());
        if (millis < 1 || millis > limits.maxDeadlineMillis()) {
            throw new NumberFormatException(text);
        }
        return millis;
    }

    private static String headerOf(HttpServerExchange exchange, String name) {
        String value = exchange.getRequestHeaders().getFirst(name);
        return value == null ? "" : value;
    }

    private static List<String> headersOf(HttpServerExchange exchange, String name) {
        HeaderValues values = exchange.getRequestHeaders().get(name);
        return values == null ? List.of() : List.copyOf(values);
    }

    private static ParseResult malformed(String detail) {
        return rejected(RefusalReason.MALFORMED, detail);
    }

    private static ParseResult rejected(RefusalReason reason, String detail) {
        return new ParseResult.Refused(Refusal.rejected(reason, detail));
    }

    private ParseResult completion(RequestAttributes attributes, DesiredState state) {
        JsonNode json;
        try {
            json = MAPPER.readTree(attributes.body());
        } catch (IOException malformed) {
            return malformed("the body is no JSON");
        }
        if (json == null || !json.isObject() || !json.path("messages").isArray()) {
            return malformed("the body must be an object with 'messages'");
        }
        String requested = json.path("model").asText("");
        Optional<ModelSpec> model = state.resolveModel(requested);
        if (model.isEmpty()) {
            return rejected(RefusalReason.UNKNOWN_TARGET, "no such model: '" + requested + "'");
        }
        ModelSpec spec = model.get();
        AdapterSpec adapter = state.adapters().get(requested);
        String adapterKey = adapter == null ? "" : adapter.name() + "@" + adapter.version();
        RoutingRequest routing = new RoutingRequest(
                spec.service(), spec.name() + "@" + spec.version(), adapterKey, PrefixHash.of(promptOf(json)));
        long ticket = state.ticketNumber(adapter == null ? spec.id() : adapter.id());
        boolean stream = json.path("stream").asBoolean(false);
        return new ParseResult.Parsed(new CallerRequest(
                attributes.id(),
                attributes.deadlineNanos(),
                attributes.priority(),
                routing,
                spec.name(),
                adapter == null ? "" : adapter.name(),
                ticket,
                true,
                attributes.key(),
                attributes.method(),
                COMPLETIONS_PATH,
                stream,
                attributes.body(),
                attributes.response()));
    }

    /** Return the concatenated message contents, cut off after the part that the prefix hash is computed from. */
    private static String promptOf(JsonNode json) {
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : json.path("messages")) {
            prompt.append(message.path("content").asText());
            if (prompt.length() > MAX_PROMPT_CHARACTERS) {
                break;
            }
        }
        return prompt.toString();
    }

    private ParseResult serviceCall(RequestAttributes attributes, String remainder, DesiredState state) {
        int slash = remainder.indexOf('/');
        String name = slash < 0 ? remainder : remainder.substring(0, slash);
        String path = slash < 0 ? "/" : remainder.substring(slash);
        ServiceSpec service = state.services().get(name);
        if (service == null || service.kind() != ServiceKind.PLAIN) {
            return rejected(RefusalReason.UNKNOWN_TARGET, "no such service: '" + name + "'");
        }
        boolean idempotent = service.idempotent() || attributes.method().equals("GET");
        if (!idempotent && attributes.key().isEmpty()) {
            return rejected(
                    RefusalReason.MISSING_HEADER,
                    "calls of '" + name + "' may not be repeated and need " + IDEMPOTENCY_KEY_HEADER);
        }
        return new ParseResult.Parsed(new CallerRequest(
                attributes.id(),
                attributes.deadlineNanos(),
                attributes.priority(),
                new RoutingRequest(name, "", ""),
                "",
                "",
                state.ticketNumber(service.id()),
                idempotent,
                attributes.key(),
                attributes.method(),
                path,
                false,
                attributes.body(),
                attributes.response()));
    }

    /** The attributes common to completions and calls of plain services. */
    private record RequestAttributes(
            RequestId id,
            long deadlineNanos,
            Priority priority,
            String key,
            String method,
            byte[] body,
            ResponseSink response) {}

    /** The result of parsing a call. */
    sealed interface ParseResult {

        /** The call is valid. */
        record Parsed(CallerRequest request) implements ParseResult {}

        /** The call is refused. */
        record Refused(Refusal refusal) implements ParseResult {}
    }
}
