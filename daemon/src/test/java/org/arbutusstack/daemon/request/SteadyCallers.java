package org.arbutusstack.daemon.request;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.testkit.process.DaemonProcess;

/** Load generator that sends requests at a fixed rate to the entries that report ready, as a load balancer does. */
final class SteadyCallers implements AutoCloseable {

    private static final long CHECK_MILLIS = 200;

    private static final int OK = 200;

    private final CallerLoad load;

    private final List<DaemonProcess> entries;

    private final int tokens;

    private final Map<String, Boolean> ready = new ConcurrentHashMap<>();

    private final ScheduledExecutorService sender = Executors.newScheduledThreadPool(2);

    private final HttpClient readinessClient = HttpClient.newBuilder()
            .connectTimeout(Duration.ofMillis(CHECK_MILLIS))
            .build();

    private int sent;

    SteadyCallers(CallerLoad load, List<DaemonProcess> entries, long periodMillis, int tokens) {
        this.load = load;
        this.entries = entries;
        this.tokens = tokens;
        sender.scheduleWithFixedDelay(this::checkReadiness, 0, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        sender.scheduleAtFixedRate(this::send, CHECK_MILLIS, periodMillis, TimeUnit.MILLISECONDS);
    }

    private void checkReadiness() {
        entries.forEach(entry -> ready.put(entry.name(), isReady(entry)));
    }

    private boolean isReady(DaemonProcess entry) {
        URI uri = URI.create("http://127.0.0.1:" + entry.port("admin-port") + "/readyz");
        HttpRequest request = HttpRequest.newBuilder(uri)
                .timeout(Duration.ofMillis(CHECK_MILLIS))
                .build();
        try {
            return readinessClient
                            .send(request, HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == OK;
        } catch (IOException unreachable) {
            return false;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void send() {
        List<DaemonProcess> readyEntries = entries.stream()
                .filter(entry -> ready.getOrDefault(entry.name(), false))
                .toList();
        if (!readyEntries.isEmpty()) {
            load.send(readyEntries.get(sent % readyEntries.size()), "order " + sent, tokens, sent / 2 % 2 == 0);
            sent++;
        }
    }

    @Override
    public void close() {
        sender.shutdownNow();
    }
}
