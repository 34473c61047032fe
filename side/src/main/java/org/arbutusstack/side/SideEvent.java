package org.arbutusstack.side;

import com.fasterxml.jackson.databind.JsonNode;
import org.arbutusstack.http.client.HttpException;
import org.arbutusstack.side.claim.ClaimResult;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.link.Link;

/** Is one message to the side's duty. */
sealed interface SideEvent {

    /** A link stands. */
    record LinkOpened(Link link) implements SideEvent {}

    /** A link is gone. */
    record LinkClosed(Link link) implements SideEvent {}

    /** A frame arrived. */
    record FrameArrived(Link link, Frame frame) implements SideEvent {}

    /** The backend server opened its answer to a piece of work. */
    record BackendHead(WorkItem work, int status, String contentType) implements SideEvent {}

    /** The backend server sent a part of its answer. */
    record BackendBytes(WorkItem work, byte[] bytes) implements SideEvent {}

    /** The backend server's answer is whole. */
    record BackendEnded(WorkItem work) implements SideEvent {}

    /** The backend server gave no whole answer. */
    record BackendFailed(WorkItem work, HttpException failure) implements SideEvent {}

    /** An order was answered; the failure is {@code null} if it was carried out. */
    record OrderEnded(EngineOrder order, String failure) implements SideEvent {}

    /** The backend server told its load; {@code null} if it did not answer. */
    record LoadReported(JsonNode load, long askedAtNanos) implements SideEvent {}

    /** The claim of a call that may not be repeated was settled. */
    record ClaimSettled(WorkItem work, ClaimResult result) implements SideEvent {}

    /** The fencing number of this run of the process is known. */
    record FenceGranted(long fence) implements SideEvent {}

    /** Time has passed. */
    record Tick() implements SideEvent {}

    /** No new work is to be taken. */
    record DrainStarted() implements SideEvent {}
}
