package org.arbutusstack.side;

import com.fasterxml.jackson.databind.JsonNode;
import org.arbutusstack.http.client.HttpException;
import org.arbutusstack.side.claim.ClaimResult;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.link.Link;

/** Message to the side's event loop. */
sealed interface SideEvent {

    /** A link was established. */
    record LinkOpened(Link link) implements SideEvent {}

    /** A link was closed. */
    record LinkClosed(Link link) implements SideEvent {}

    /** A frame was received on a link. */
    record FrameArrived(Link link, Frame frame) implements SideEvent {}

    /** The backend server sent the head of its answer. */
    record BackendHead(WorkItem work, int status, String contentType) implements SideEvent {}

    /** The backend server sent a part of its answer's body. */
    record BackendBytes(WorkItem work, byte[] bytes) implements SideEvent {}

    /** The backend server's answer is complete. */
    record BackendEnded(WorkItem work) implements SideEvent {}

    /** The call to the backend server failed before its answer was complete. */
    record BackendFailed(WorkItem work, HttpException failure) implements SideEvent {}

    /** An order ended; the failure is {@code null} if it was carried out. */
    record OrderEnded(EngineOrder order, String failure) implements SideEvent {}

    /** A load query ended; the load is {@code null} if the backend server did not respond. */
    record LoadReported(JsonNode load, long askedAtNanos) implements SideEvent {}

    /** The claim of a non-idempotent call was settled. */
    record ClaimSettled(WorkItem work, ClaimResult result) implements SideEvent {}

    /** The fencing token of this incarnation was granted. */
    record FenceGranted(long fence) implements SideEvent {}

    /** The tick interval has elapsed. */
    record Tick() implements SideEvent {}

    /** The process drains: no new work is accepted. */
    record DrainStarted() implements SideEvent {}
}
