package org.arbutusstack.gateway.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.arbutusstack.gateway.runner.RunnerEntry;
import org.arbutusstack.gateway.runner.RunnerNotice;

/** Records the attempts sent to runners and lets a test answer them. */
final class FakeRunners implements RunnerPort {

    final List<Sent> sent = new ArrayList<>();

    final List<String> closed = new ArrayList<>();

    /** The identifier of the request that cannot be sent; empty for none. */
    String unsendableId = "";

    @Override
    public Attempt send(
            RunnerEntry runner,
            InboundRequest request,
            String lastEventId,
            long deadlineNanos,
            boolean newConnection,
            AnswerListener listener) {
        if (request.id().equals(unsendableId)) {
            throw new IllegalStateException("the request cannot be sent");
        }
        Sent attempt = new Sent(runner, request, lastEventId, listener);
        sent.add(attempt);
        return new Attempt() {
            @Override
            public void cancel() {
                attempt.cancelled = true;
            }

            @Override
            public long unsentBytes() {
                return attempt.unsentBytes;
            }
        };
    }

    @Override
    public void closeIdleConnections(RunnerEntry runner) {
        closed.add(runner.id());
    }

    Sent last() {
        return sent.get(sent.size() - 1);
    }

    /** An attempt. */
    static final class Sent {

        final RunnerEntry runner;

        final InboundRequest request;

        final String lastEventId;

        final AnswerListener listener;

        boolean cancelled;

        /** How much of the body the runner does not read. */
        long unsentBytes;

        /** What the runner says about itself in its answer. */
        RunnerNotice notice = RunnerNotice.NONE;

        Sent(RunnerEntry runner, InboundRequest request, String lastEventId, AnswerListener listener) {
            this.runner = runner;
            this.request = request;
            this.lastEventId = lastEventId;
            this.listener = listener;
            this.unsentBytes = request.body().length;
        }

        void head(int status, AnswerKind kind, boolean eventStream) {
            listener.onHead(new AnswerHead(status, Map.of("Response-Seal", "s"), kind, true, eventStream, notice));
        }

        /** Begin a stream whose end is marked by chunks or a length, or only by the end of the connection. */
        void streamHead(boolean framed) {
            listener.onHead(new AnswerHead(200, Map.of(), AnswerKind.ATTESTED, framed, true, notice));
        }

        void bytes(String text) {
            listener.onBytes(text.getBytes(StandardCharsets.UTF_8));
        }

        void end() {
            listener.onEnd();
        }

        void answer(int status, AnswerKind kind, String body) {
            head(status, kind, false);
            bytes(body);
            end();
        }

        void sendMalformed() {
            listener.onMalformed("no status line");
        }

        void fail(boolean maybeSent) {
            listener.onFailed(maybeSent, "reset");
        }
    }
}
