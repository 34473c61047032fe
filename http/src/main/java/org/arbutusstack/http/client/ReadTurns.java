package org.arbutusstack.http.client;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/**
 * Queue of the response bodies that wait to be read further on one I/O thread.
 *
 * <p>A server that sends faster than the client reads always has bytes to read. Its body is therefore read in turns of
 * limited length, one of which runs at a time, so that the I/O thread handles its timers and other connections between
 * any two. Confined to the I/O thread.
 */
final class ReadTurns {

    /** A timer, since tasks that are submitted without a delay run before the I/O thread selects connections again. */
    private static final long PAUSE_MILLIS = 1;

    private static final ThreadLocal<ReadTurns> OF_THREAD = ThreadLocal.withInitial(ReadTurns::new);

    private final Deque<Runnable> waiting = new ArrayDeque<>();

    private boolean scheduled;

    /** Return the queue of the calling I/O thread. */
    static ReadTurns ofCurrentThread() {
        return OF_THREAD.get();
    }

    /** Run a turn once those that were added before it have run. */
    void add(XnioExecutor thread, Runnable turn) {
        waiting.add(turn);
        schedule(thread);
    }

    private void schedule(XnioExecutor thread) {
        if (!scheduled && !waiting.isEmpty()) {
            scheduled = true;
            thread.executeAfter(() -> runNext(thread), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void runNext(XnioExecutor thread) {
        Runnable next = waiting.poll();
        try {
            next.run();
        } finally {
            scheduled = false;
            schedule(thread);
        }
    }
}
