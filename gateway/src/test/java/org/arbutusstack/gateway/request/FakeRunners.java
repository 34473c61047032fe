package org.arbutusstack.gateway.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.arbutusstack.gateway.runner.RunnerEntry;

/** Takes what is sent to runners and lets a test answer it. */
final class FakeRunners implements RunnerPort {

    final List<Sent> sent = new ArrayList<>();

    final List<String> forgotten = new ArrayList<>();

    @Override
    public Attempt send(
            RunnerEntry runner,
            InboundRequest request,
            String lastEventId,
            long deadlineNanos,
            AnswerListener listener) {
        Sent attempt = new Sent(runner, request, lastEventId, listener);
        sent.add(attempt);
        return () -> attempt.cancelled = true;
    }

    @Override
    public void closeIdleConnections(RunnerEntry runner) {
        forgotten.add(runner.id());
    }

    Sent last() {
        return sent.get(sent.size() - 1);
    }

    /** One attempt. */
    static final class Sent {

        final RunnerEntry runner;

        final InboundRequest request;

        final String lastEventId;

        final AnswerListener listener;

        boolean cancelled;

        Sent(RunnerEntry runner, InboundRequest request, String lastEventId, AnswerListener listener) {
            this.runner = runner;
            this.request = request;
            this.lastEventId = lastEventId;
            this.listener = listener;
        }

        void head(int status, AnswerKind claim, boolean eventStream) {
            listener.onHead(new AnswerHead(status, Map.of("Response-Seal", "s"), claim, true, eventStream));
        }

        void unframedHead() {
            listener.onHead(new AnswerHead(200, Map.of(), AnswerKind.ATTESTED, false, true));
        }

        void bytes(String text) {
            listener.onBytes(text.getBytes(StandardCharsets.UTF_8));
        }

        void end() {
            listener.onEnd();
        }

        void answer(int status, AnswerKind claim, String body) {
            head(status, claim, false);
            bytes(body);
            end();
        }

        void broken(boolean maybeSent) {
            listener.onFailed(maybeSent, "reset");
        }
    }
}
