package org.arbutusstack.entry.router;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.arbutusstack.wire.frame.AnswerPartFrame;

/** Utility for forwarding the events of a streamed answer to its caller. Stateless. */
final class EventStreamWriter {

    private static final byte[] TERMINAL_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private EventStreamWriter() {}

    static void write(PendingRequest pending, AnswerPartFrame frame) {
        CallerRequest request = pending.request();
        if (!pending.isStreamOpened()) {
            pending.openStream();
            CallerResponses.sendHead(request, pending.head());
        }
        if (frame.bytes().length > 0) {
            request.response().write(frame.bytes());
        }
    }

    /**
     * Return whether the bytes end with the terminal event. The answer is then complete, even if the frame marked as
     * the last one is lost.
     */
    static boolean endsWithTerminalEvent(PendingRequest pending, byte[] bytes) {
        int from = bytes.length - TERMINAL_EVENT.length;
        return pending.isEventStream()
                && from >= 0
                && Arrays.equals(bytes, from, bytes.length, TERMINAL_EVENT, 0, TERMINAL_EVENT.length);
    }
}
