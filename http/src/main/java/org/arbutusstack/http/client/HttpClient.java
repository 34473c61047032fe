package org.arbutusstack.http.client;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

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
    Cancellable stream(HttpTarget target, HttpCall call, long deadlineNanos, HttpListener listener);

    /**
     * Sends a call and gathers its answer.
     *
     * @param target the server
     * @param call the call
     * @param deadlineNanos the instant of {@link System#nanoTime()} at which the call is given up
     * @return the whole answer; fails with an {@link HttpException}
     */
    default CompletableFuture<HttpReply> call(HttpTarget target, HttpCall call, long deadlineNanos) {
        GatheringListener listener = new GatheringListener();
        stream(target, call, deadlineNanos, listener);
        return listener.reply();
    }

    /**
     * Closes the idle connections to a server; calls under way go on.
     *
     * @param target the server
     */
    default void forget(HttpTarget target) {}

    @Override
    void close();

    /** Gives a call up. */
    @FunctionalInterface
    interface Cancellable {

        /** Closes the connection of the call unless it has ended. */
        void cancel();
    }

    /** Gathers an answer into one reply. */
    final class GatheringListener implements HttpListener {

        private final CompletableFuture<HttpReply> future = new CompletableFuture<>();

        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        private int answeredStatus;

        CompletableFuture<HttpReply> reply() {
            return future;
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            answeredStatus = status;
        }

        @Override
        public void onBytes(byte[] bytes) {
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
