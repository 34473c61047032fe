package org.arbutusstack.entry.router;

import org.arbutusstack.http.server.ResponseSink;
import org.arbutusstack.model.request.Priority;
import org.arbutusstack.model.request.RequestId;
import org.arbutusstack.routing.RoutingRequest;

/**
 * A validated request from a caller.
 *
 * @param id the request id
 * @param deadlineNanos the time at which the caller stops waiting, in nanoseconds of the process clock
 * @param priority the priority
 * @param routing the requirements that a runner has to meet
 * @param model the model name; empty for a plain service
 * @param adapter the adapter name; empty if none is requested
 * @param ticketNumber the number of the ticket in force for the requested model, adapter or service
 * @param idempotent whether the request may run more than once
 * @param idempotencyKey the idempotency key set by the caller; empty if none
 * @param method the HTTP method
 * @param path the path on the backend server
 * @param stream whether the caller wants the answer as an event stream
 * @param body the request body; not copied
 * @param response the response to the caller
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
