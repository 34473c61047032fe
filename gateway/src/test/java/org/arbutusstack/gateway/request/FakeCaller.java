package org.arbutusstack.gateway.request;

import java.nio.charset.StandardCharsets;
import org.arbutusstack.http.server.ResponseSink;
import org.arbutusstack.model.request.Refusal;

/** Records the answer to one request. */
final class FakeCaller implements ResponseSink {

    final StringBuilder body = new StringBuilder();

    Refusal refusal;

    long retryAfterMillis;

    int status;

    boolean ended;

    boolean aborted;

    /** Whether nothing can be written to the caller, neither an answer nor a refusal. */
    boolean isUnwritable;

    /** Whether nothing that is written is read. */
    boolean readsNothing;

    private long pendingBytes;

    private Runnable closeTask;

    /** Writes answers and refusals to fake callers. */
    static final CallerPort PORT = new CallerPort() {
        @Override
        public void refuse(ResponseSink response, String requestId, Refusal refusal, long retryAfterMillis) {
            FakeCaller caller = (FakeCaller) response;
            caller.requireWritable();
            caller.refusal = refusal;
            caller.retryAfterMillis = retryAfterMillis;
        }

        @Override
        public void open(ResponseSink response, AnswerHead head, long lengthBytes) {
            ((FakeCaller) response).requireWritable();
            ((FakeCaller) response).status = head.status();
        }
    };

    @Override
    public void head(int answered, String contentType) {
        status = answered;
    }

    @Override
    public void header(String name, String value) {}

    @Override
    public boolean write(byte[] bytes) {
        body.append(new String(bytes, StandardCharsets.UTF_8));
        pendingBytes += readsNothing ? bytes.length : 0;
        return true;
    }

    @Override
    public void end() {
        ended = true;
    }

    @Override
    public void abort() {
        aborted = true;
    }

    @Override
    public long pendingBytes() {
        return pendingBytes;
    }

    @Override
    public boolean isClosed() {
        return ended || aborted;
    }

    @Override
    public void onClose(Runnable task) {
        closeTask = task;
    }

    @Override
    public void disconnect() {
        closeTask.run();
    }

    private void requireWritable() {
        if (isUnwritable) {
            throw new IllegalStateException("the response cannot be written");
        }
    }

    /** Return whether the request was refused, answered or aborted. */
    boolean isAnswered() {
        return refusal != null || ended || aborted;
    }
}
