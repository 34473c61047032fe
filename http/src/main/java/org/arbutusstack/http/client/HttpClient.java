package org.arbutusstack.http.client;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Non-blocking HTTP client.
 *
 * <p>Implementations are thread-safe.
 *
 * @see UndertowHttpClient
 */
public interface HttpClient extends AutoCloseable {

    /**
     * Send a call and pass its response to a listener part by part.
     *
     * @param target the server to call
     * @param call the call to send
     * @param deadlineNanos the instant of {@link System#nanoTime()} at which the call fails
     * @param listener the listener that receives the response
     * @return a handle to cancel the call
     */
    Cancellable stream(HttpTarget target, HttpCall call, long deadlineNanos, HttpResponseListener listener);

    /**
     * Send a call and collect its response, whose body must not exceed {@value CollectingListener#MAX_RESPONSE_BYTES}
     * bytes.
     *
     * @param target the server to call
     * @param call the call to send
     * @param deadlineNanos the instant of {@link System#nanoTime()} at which the call fails
     * @return a future of the complete response, which fails with an {@link HttpException}
     */
    default CompletableFuture<HttpReply> call(HttpTarget target, HttpCall call, long deadlineNanos) {
        return call(target, call, deadlineNanos, CollectingListener.MAX_RESPONSE_BYTES);
    }

    /**
     * Send a call and collect its response up to a limit.
     *
     * @param target the server to call
     * @param call the call to send
     * @param deadlineNanos the instant of {@link System#nanoTime()} at which the call fails
     * @param maxResponseBytes the maximum size of the body of the response, in bytes
     * @return a future of the complete response, which fails with an {@link HttpException}
     */
    default CompletableFuture<HttpReply> call(
            HttpTarget target, HttpCall call, long deadlineNanos, int maxResponseBytes) {
        CollectingListener listener = new CollectingListener(maxResponseBytes);
        listener.setHandle(stream(target, call, deadlineNanos, listener));
        return listener.reply();
    }

    /**
     * Send a call and block until its response is complete.
     *
     * <p>The waiting thread enforces the deadline itself: a server that sends faster than the client reads keeps the
     * I/O thread busy, so that the timers of that thread do not run.
     *
     * @param target the server to call
     * @param call the call to send
     * @param deadlineNanos the instant of {@link System#nanoTime()} at which the call fails
     * @param maxResponseBytes the maximum size of the body of the response, in bytes
     * @return the complete response
     * @throws InterruptedException if the waiting thread is interrupted
     * @throws ExecutionException if the call fails, with an {@link HttpException} as its cause
     */
    default HttpReply await(HttpTarget target, HttpCall call, long deadlineNanos, int maxResponseBytes)
            throws InterruptedException, ExecutionException {
        CollectingListener listener = new CollectingListener(maxResponseBytes);
        Cancellable handle = stream(target, call, deadlineNanos, listener);
        listener.setHandle(handle);
        while (true) {
            try {
                return listener.reply().get(CollectingListener.DEADLINE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            } catch (TimeoutException pending) {
                handle.checkDeadline();
            }
        }
    }

    /**
     * Close the idle connections to a server; calls in progress continue.
     *
     * @param target the server to call
     */
    default void closeIdleConnections(HttpTarget target) {}

    @Override
    void close();

    /** Handle to cancel a call. */
    @FunctionalInterface
    interface Cancellable {

        /** Cancel the call and close its connection, unless it has already ended. */
        void cancel();

        /** Fail the call and close its connection if its deadline has passed. May be called by any thread. */
        default void checkDeadline() {}

        /**
         * Return how much of the body of the call the connection has not taken. May be called by any thread.
         *
         * @return the number of bytes; zero once the body was sent or the call has ended
         */
        default long unsentBytes() {
            return 0;
        }
    }

    /** Listener that collects a response into one {@link HttpReply}. */
    final class CollectingListener implements HttpResponseListener {

        /** Several times the size of the largest response of any service called this way. */
        static final int MAX_RESPONSE_BYTES = 16 * 1_024 * 1_024;

        /** How often a waiting thread checks the deadline of its call. */
        static final long DEADLINE_CHECK_MILLIS = 250;

        private final CompletableFuture<HttpReply> future = new CompletableFuture<>();

        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        private final int maxResponseBytes;

        private int responseStatus;

        private Map<String, String> responseHeaders = Map.of();

        private boolean tooLong;

        private Cancellable call;

        CollectingListener(int maxResponseBytes) {
            this.maxResponseBytes = maxResponseBytes;
        }

        CompletableFuture<HttpReply> reply() {
            return future;
        }

        /** Set the handle of the call, and cancel the call if the response has already been found too long. */
        synchronized void setHandle(Cancellable handle) {
            call = handle;
            if (tooLong) {
                handle.cancel();
            }
        }

        private synchronized void cancelTooLong() {
            tooLong = true;
            body.reset();
            if (call != null) {
                call.cancel();
            }
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            responseStatus = status;
            responseHeaders = headers;
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (tooLong) {
                return;
            }
            if (body.size() + bytes.length > maxResponseBytes) {
                future.completeExceptionally(
                        new HttpException("Got an answer of more than " + maxResponseBytes + " bytes", true, null));
                cancelTooLong();
                return;
            }
            body.writeBytes(bytes);
        }

        @Override
        public void onEnd() {
            future.complete(new HttpReply(responseStatus, responseHeaders, body.toByteArray()));
        }

        @Override
        public void onFailure(HttpException failure) {
            future.completeExceptionally(failure);
        }
    }
}
