package org.arbutusstack.gateway.request;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusstack.gateway.config.Route;
import org.arbutusstack.gateway.config.Team;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.routing.ContentKeys;

/**
 * A request of a caller, as decoded on entry. Immutable.
 *
 * @param id the caller's identifier of the request
 * @param method the HTTP method
 * @param target the path and query, byte for byte as the caller sent them
 * @param headers the headers to forward to a runner
 * @param body the body; not copied
 * @param route the route that matches the request
 * @param service the service selected for the request
 * @param team the team of the caller's key; empty if the caller needs no key
 * @param model the model; empty for a plain service
 * @param adapter the adapter; empty for none
 * @param promptTokens the number of tokens of the prompt; zero if unknown
 * @param outputTokens the maximum number of tokens of the answer; zero if unknown
 * @param prefixHash the hash of the prompt prefix shared within a session; zero for none
 * @param sharedParts the identifiers of the prompt's parts in order, without the last, which no other request shares
 * @param resumedEventId the identifier of the last event that the caller has of a stream that it resumes; empty if none
 * @param resumedRequestId the identifier of the request that brought the first event of that stream; empty if unnamed
 * @param arrivedNanos the time at which the request was read
 * @param deadlineNanos the earlier of the caller's deadline and the timeout of the route
 * @param urgency the urgency in an engine; zero is the most urgent
 */
public record InboundRequest(
        String id,
        String method,
        String target,
        Map<String, String> headers,
        byte[] body,
        Route route,
        String service,
        Optional<Team> team,
        String model,
        String adapter,
        int promptTokens,
        int outputTokens,
        long prefixHash,
        List<String> sharedParts,
        String resumedEventId,
        String resumedRequestId,
        long arrivedNanos,
        long deadlineNanos,
        int urgency) {

    /** Copy the collections. */
    public InboundRequest {
        Assert.notNull(team, "team");
        headers = Map.copyOf(headers);
        sharedParts = List.copyOf(sharedParts);
    }

    /** Create a request with the urgency of its route, which does not name the one that began the stream. */
    public InboundRequest(
            String id,
            String method,
            String target,
            Map<String, String> headers,
            byte[] body,
            Route route,
            String service,
            Optional<Team> team,
            String model,
            String adapter,
            int promptTokens,
            int outputTokens,
            long prefixHash,
            List<String> sharedParts,
            String resumedEventId,
            long arrivedNanos,
            long deadlineNanos) {
        this(
                id,
                method,
                target,
                headers,
                body,
                route,
                service,
                team,
                model,
                adapter,
                promptTokens,
                outputTokens,
                prefixHash,
                sharedParts,
                resumedEventId,
                "",
                arrivedNanos,
                deadlineNanos,
                route.urgency());
    }

    /**
     * Return the number of prompt tokens that an engine has to process.
     *
     * @return the tokens of the prompt, at least one for a model since callers may omit the number; zero for a plain
     *     service
     */
    public int prefillTokens() {
        return needsModel() ? Math.max(1, promptTokens) : 0;
    }

    /**
     * Return the keys of the request's content, by which requests that crash runners are recognized.
     *
     * @return the keys of the shared parts of its prompt, and that of the whole request
     */
    public List<String> contentKeys() {
        return ContentKeys.ofRequest(sharedParts, method + ' ' + target + '\n' + model + '/' + adapter, body);
    }

    /**
     * Return what the request counts against the allotment of its team.
     *
     * @return the cost in the unit of the allotment; zero if the request has no team
     */
    public double allotmentCost() {
        return team.map(known -> known.unit().costOf(promptTokens, outputTokens, known.plainTokens()))
                .orElse(0.0);
    }

    /**
     * Return whether the caller takes up a stream that has broken off.
     *
     * @return whether the answer goes on after an event that the caller has
     */
    public boolean takesUpStream() {
        return route.kind().isStreaming() && route.mayRepeat() && !resumedEventId.isEmpty();
    }

    /**
     * Return the request that brought the first event of the stream, if this one brings any.
     *
     * @return the identifier of this request, or that of an earlier one of the caller; empty if it does not name it
     */
    public String streamOriginId() {
        return takesUpStream() ? resumedRequestId : id;
    }

    /**
     * Return whether the request is for a model.
     *
     * @return whether it names a model
     */
    public boolean needsModel() {
        return !model.isEmpty();
    }
}
