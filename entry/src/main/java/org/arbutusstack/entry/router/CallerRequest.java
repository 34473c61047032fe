package org.arbutusstack.entry.router;

import org.arbutusstack.http.server.ResponseSink;
import org.arbutusstack.model.request.Priority;
import org.arbutusstack.model.request.RequestId;
import org.arbutusstack.routing.RoutingRequest;

/**
 * Holds a request as a caller sent it, checked.
 *
 * @param id the request's name
 * @param deadlineNanos when the caller stops waiting, an instant of this process's clock
 * @param priority the priority
 * @param routing what it needs of a runner
 * @param model the model's name; empty for a plain service
 * @param adapter the adapter's name; empty for none
 * @param ticketNumber the number of the ticket in force for what it asks
 * @param idempotent whether it may run more than once
 * @param idempotencyKey the caller's key; empty for none
 * @param method the HTTP method
 * @param path the path at the backend server
 * @param stream whether the answer is wanted part by part
 * @param body the body; not copied
 * @param response takes the answer
 */
public record CallerRequest(
        RequestId id,
        long deadlineNanos,
        Priority priority,
        RoutingRequest routing,
        String model,
        String adapter,
        long ticketNumber,
        boolean idempotent,
        String idempotencyKey,
        String method,
        String path,
        boolean stream,
        byte[] body,
        ResponseSink response) {}
