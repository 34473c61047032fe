package org.arbutusstack.gateway.request;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.arbutusstack.gateway.quarantine.LivenessProbe;
import org.arbutusstack.gateway.runner.RunnerEntry;

/** Records the probes of backend servers and lets a test answer them. */
final class FakeProbe implements LivenessProbe {

    final List<String> probed = new ArrayList<>();

    /** The identifier of the server whose probe fails; empty for none. */
    String failingId = "";

    private final List<Consumer<Result>> pending = new ArrayList<>();

    @Override
    public void probe(RunnerEntry server, String path, long deadlineNanos, Consumer<Result> listener) {
        probed.add(server.id());
        if (server.id().equals(failingId)) {
            throw new IllegalStateException("the probe failed");
        }
        pending.add(listener);
    }

    /** Answer all probes in progress. */
    void answer(Result result) {
        List<Consumer<Result>> answered = List.copyOf(pending);
        pending.clear();
        answered.forEach(listener -> listener.accept(result));
    }
}
