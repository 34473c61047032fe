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
 * Client that tries the entries in order until one answers. Not thread-safe.
 *
 * <p>Every command may be retried at another entry, since a ticket that is submitted twice is accepted once.
 */
final class EntryClient {

    private static final long CALL_TIMEOUT_SECONDS = 8;

    private final HttpClient client;

    private final Settings settings;

    private final PrintStream err;

    EntryClient(HttpClient client, Settings settings, PrintStream err) {
        this.client = Assert.notNull(client, "client");
        this.settings = Assert.notNull(settings, "settings");
        this.err = Assert.notNull(err, "err");
    }

    /** Send a call to the first entry that answers; return empty if none does. */
    Optional<HttpReply> send(HttpCall call) {
        for (String entry : settings.text(ControlSettings.ENTRIES).split(",")) {
            Optional<HttpReply> reply = sendTo(HttpTarget.parse(entry.trim()), call);
            if (reply.isPresent()) {
                return reply;
            }
        }
        return Optional.empty();
    }

    /** Send a call to one process; return empty if it does not answer. */
    Optional<HttpReply> sendTo(HttpTarget target, HttpCall call) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(CALL_TIMEOUT_SECONDS);
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
