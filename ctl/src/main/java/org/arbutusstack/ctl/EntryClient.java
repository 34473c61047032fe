package org.arbutusstack.ctl;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpClient;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.setting.Settings;

/**
 * Asks entries, one after the other until one answers. To be used by one thread.
 *
 * <p>Asking a second entry is safe for every command: a ticket submitted twice is accepted once.
 */
final class EntryClient {

    private static final long CALL_SECONDS = 8;

    private final HttpClient client;

    private final Settings settings;

    private final PrintStream err;

    EntryClient(HttpClient client, Settings settings, PrintStream err) {
        this.client = Assert.notNull(client, "client");
        this.settings = Assert.notNull(settings, "settings");
        this.err = Assert.notNull(err, "err");
    }

    /** Asks for an answer; empty if no entry gave one. */
    Optional<HttpReply> ask(HttpCall call) {
        for (String entry : settings.text(ControlSettings.ENTRIES).split(",")) {
            Optional<HttpReply> reply = askOne(HttpTarget.parse(entry.trim()), call);
            if (reply.isPresent()) {
                return reply;
            }
        }
        return Optional.empty();
    }

    /** Asks one process; empty if it gave no answer. */
    Optional<HttpReply> askOne(HttpTarget target, HttpCall call) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(CALL_SECONDS);
        try {
            return Optional.of(
                    client.call(target, authorized(call), deadlineNanos).get());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException failure) {
            err.println("arbutusctl: " + target + ": " + failure.getCause().getMessage());
        }
        return Optional.empty();
    }

    private HttpCall authorized(HttpCall call) {
        Map<String, String> headers = new HashMap<>(call.headers());
        headers.put("Authorization", "Bearer " + settings.text(ControlSettings.TOKEN));
        return new HttpCall(call.method(), call.path(), headers, call.body());
    }
}
