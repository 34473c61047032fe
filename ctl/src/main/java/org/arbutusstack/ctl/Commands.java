package org.arbutusstack.ctl;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpClient;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.setting.Settings;

/** Runs the commands of the operators' tool. To be used by one thread. */
final class Commands {

    private static final long CALL_SECONDS = 8;

    private static final int GATEWAY_TIMEOUT = 504;

    private final HttpClient client;

    private final Settings settings;

    private final PrintStream out;

    private final PrintStream err;

    private final String usage;

    Commands(HttpClient client, Settings settings, PrintStream out, PrintStream err, String usage) {
        this.client = Assert.notNull(client, "client");
        this.settings = Assert.notNull(settings, "settings");
        this.out = Assert.notNull(out, "out");
        this.err = Assert.notNull(err, "err");
        this.usage = Assert.notNull(usage, "usage");
    }

    ExitCode run(List<String> words) {
        String command = String.join(" ", words);
        if (command.startsWith("ticket submit ") && words.size() == 3) {
            return submit(Path.of(words.get(2)));
        }
        if (command.startsWith("ticket show ") && words.size() == 3) {
            return ask(HttpCall.get("/tickets/" + words.get(2)));
        }
        if (command.equals("ticket list")) {
            return ask(HttpCall.get("/tickets"));
        }
        if (command.equals("status")) {
            return ask(HttpCall.get("/status"));
        }
        if (command.startsWith("dump ") && words.size() == 2) {
            return askOne(HttpTarget.parse(words.get(1)), HttpCall.get("/state"));
        }
        err.println(usage);
        return ExitCode.USAGE;
    }

    private ExitCode submit(Path file) {
        byte[] body;
        try {
            body = Files.readAllBytes(file);
        } catch (IOException failure) {
            err.println("arbutusctl: could not read " + file + ": " + failure.getMessage());
            return ExitCode.USAGE;
        }
        return ask(new HttpCall("POST", "/tickets", Map.of("Content-Type", "application/json"), body));
    }

    /** Asks one entry after the other until one answers; a ticket submitted twice is accepted once. */
    private ExitCode ask(HttpCall call) {
        ExitCode last = ExitCode.UNREACHABLE;
        for (String entry : settings.text(ArbutusControl.ENTRIES).split(",")) {
            last = askOne(HttpTarget.parse(entry.trim()), call);
            if (last != ExitCode.UNREACHABLE) {
                return last;
            }
        }
        return last;
    }

    private ExitCode askOne(HttpTarget target, HttpCall call) {
        try {
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(CALL_SECONDS);
            HttpReply reply =
                    client.call(target, authorized(call), deadlineNanos).get();
            return report(reply);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return ExitCode.UNCERTAIN;
        } catch (ExecutionException failure) {
            err.println("arbutusctl: " + target + ": " + failure.getCause().getMessage());
            return ExitCode.UNREACHABLE;
        }
    }

    private HttpCall authorized(HttpCall call) {
        Map<String, String> headers = new HashMap<>(call.headers());
        headers.put("Authorization", "Bearer " + settings.text(ArbutusControl.TOKEN));
        return new HttpCall(call.method(), call.path(), headers, call.body());
    }

    private ExitCode report(HttpReply reply) {
        if (reply.isSuccess()) {
            out.println(reply.text());
            return ExitCode.DONE;
        }
        err.println(reply.text());
        return reply.status() == GATEWAY_TIMEOUT ? ExitCode.UNCERTAIN : ExitCode.REFUSED;
    }
}
