package org.arbutusstack.http.client;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Sends HTTP calls without blocking.
 *
 * <p>Implementations are safe for use by any thread.
 *
 * @see UndertowHttpClient
 */
public interface HttpClient extends AutoCloseable {

    /**
     * Sends a call and hands on its answer part by part.
     *
     * @param target the server
     * @param call the call
     * @param deadlineNanos the instant of {@link System#nanoTime()} at which the call is given up
     * @param listener what takes the answer
     * @return a handle that gives the call up
     */
    Cancellable stream(HttpTarget target, HttpCall call, long deadlineNanos, HttpResponseListener listener);

    /**
     * Sends a call and gathers its answer, which may not be longer than {@value GatheringListener#MOST_BYTES} bytes.
     *
     * @param target the server
     * @param call the call
     * @param deadlineNanos the instant of {@link System#nanoTime()} at which the call is given up
     * @return the whole answer; fails with an {@link HttpException}
     */
    default CompletableFuture<HttpReply> call(HttpTarget target, HttpCall call, long deadlineNanos) {
        GatheringListener listener = new GatheringListener();
        listener.givenUpBy(stream(target, call, deadlineNanos, listener));
        return listener.reply();
    }

    /**
     * Sends a call and waits for its answer.
     *
     * <p>The waiting thread looks after the answer: a server that sends faster than the client reads keeps the I/O
     * thread busy, so that no timer of it runs.
     *
     * @param target the server
     * @param call the call
     * @param deadlineNanos the instant of {@link System#nanoTime()} at which the call is given up
     * @return the whole answer
     * @throws InterruptedException if the waiting thread is interrupted
     * @throws ExecutionException if there is no answer, with an {@link HttpException} as its cause
     */
    default HttpReply await(HttpTarget target, HttpCall call, long deadlineNanos)
            throws InterruptedException, ExecutionException {
        GatheringListener listener = new GatheringListener();
        Cancellable handle = stream(target, call, deadlineNanos, listener);
        listener.givenUpBy(handle);
        while (true) {
            try {
                return listener.reply().get(GatheringListener.CHECK_MILLIS, TimeUnit.MILLISECONDS);
            } catch (TimeoutException unanswered) {
                handle.check();
            }
        }
    }

    /**
     * Closes the idle connections to a server; calls under way go on.
     *
     * @param target the server
     */
    default void closeIdleConnections(HttpTarget target) {}

    @Override
    void close();

    /** Gives a call up. */
    @FunctionalInterface
    interface Cancellable {

        /** Closes the connection of the call unless it has ended. */
        void cancel();

        /** Closes the connection if its deadline has passed; for any thread. */
        default void check() {}
    }

    /** Gathers an answer into one reply. */
    final class GatheringListener implements HttpResponseListener {

        /** Several times the longest answer of any service that is called so. */
        static final int MOST_BYTES = 16 * 1_024 * 1_024;

        /** How often a waiting thread looks after the answer. */
        static final long CHECK_MILLIS = 250;

        private final CompletableFuture<HttpReply> future = new CompletableFuture<>();

        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        private int answeredStatus;

        private boolean tooLong;

        private Cancellable call;

        CompletableFuture<HttpReply> reply() {
            return future;
        }

        /** Takes the handle; the answer may have been found too long before. */
        synchronized void givenUpBy(Cancellable handle) {
            call = handle;
            if (tooLong) {
                handle.cancel();
            }
        }

        private synchronized void giveUp() {
            tooLong = true;
            body.reset();
            if (call != null) {
                call.cancel();
            }
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            answeredStatus = status;
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (tooLong) {
                return;
            }
            if (body.size() + bytes.length > MOST_BYTES) {
                future.completeExceptionally(
                        new HttpException("Got an answer of more than " + MOST_BYTES + " bytes", true, null));
                giveUp();
                return;
            }
            body.writeBytes(bytes);
        }

        @Override
        public void onEnd() {
            future.complete(new HttpReply(answeredStatus, body.toByteArray()));
        }

        @Override
        public void onFailure(HttpException failure) {
            future.completeExceptionally(failure);
        }
    }
}
