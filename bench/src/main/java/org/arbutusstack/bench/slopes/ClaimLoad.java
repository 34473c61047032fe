package org.arbutusstack.bench.slopes;

import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.testkit.process.ProcessCluster;

/** Load generator that sends non-idempotent calls at a constant rate, each with its own idempotency key. */
final class ClaimLoad implements AutoCloseable {

    private static final int OK = 200;

    private final ProcessCluster cluster;

    private final int port;

    private final AtomicLong sent = new AtomicLong();

    private final AtomicLong answered = new AtomicLong();

    private final AtomicLong refused = new AtomicLong();

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(work, "claim-load");
        thread.setDaemon(true);
        return thread;
    });

    ClaimLoad(ProcessCluster cluster, int port, int callsPerSecond) {
        this.cluster = cluster;
        this.port = port;
        long periodMicros = TimeUnit.SECONDS.toMicros(1) / callsPerSecond;
        timer.scheduleAtFixedRate(this::send, periodMicros, periodMicros, TimeUnit.MICROSECONDS);
    }

    private void send() {
        Map<String, String> headers = Map.of("Idempotency-Key", "bench-" + sent.incrementAndGet());
        cluster.call(port, new HttpCall("POST", "/services/orderdesk/confirm", headers, "{}".getBytes()))
                .whenComplete((reply, failure) -> {
                    boolean ok = failure == null && reply.status() == OK;
                    (ok ? answered : refused).incrementAndGet();
                });
    }

    long answered() {
        return answered.get();
    }

    long refused() {
        return refused.get();
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
