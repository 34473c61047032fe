package org.arbutusstack.entry.member;

import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpClient;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.Duty;
import org.arbutusstack.kernel.ring.Ticker;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.ModelException;
import org.arbutusstack.model.host.HostList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the platform's host list again and again and hands it on when it has changed.
 *
 * <p>When it cannot be read, the last list stands. Runs on a duty of its own.
 */
public final class HostListService implements Service {

    private static final Logger logger = LoggerFactory.getLogger(HostListService.class);

    private static final int RING_SIZE = 4;

    private static final long PERIOD_MILLIS = 500;

    private static final long CALL_MILLIS = 2_000;

    private final HttpClient client;

    private final HttpTarget target;

    private final Clock clock;

    private final Consumer<HostList> listener;

    private final Duty<Runnable> duty = new Duty<>("host-list", RING_SIZE, Runnable::run);

    private final Ticker ticker = new Ticker("host-list-ticker");

    private HostList last;

    /**
     * Creates the service.
     *
     * @param client reads the list
     * @param target where the list is
     * @param clock the clock of the process
     * @param listener learns of each changed list; must not block
     */
    public HostListService(HttpClient client, HttpTarget target, Clock clock, Consumer<HostList> listener) {
        this.client = Assert.notNull(client, "client");
        this.target = Assert.notNull(target, "target");
        this.clock = Assert.notNull(clock, "clock");
        this.listener = Assert.notNull(listener, "listener");
    }

    @Override
    public String name() {
        return "host-list";
    }

    @Override
    public void start() {
        duty.start();
        duty.offer(this::read);
        ticker.every(PERIOD_MILLIS, () -> duty.offer(this::read));
    }

    private void read() {
        try {
            HttpReply reply = client.call(target, HttpCall.get("/hosts"), clock.deadlineNanos(CALL_MILLIS))
                    .get();
            if (reply.isSuccess()) {
                handOn(JsonCodec.read(reply.body(), HostList.class));
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | ModelException failure) {
            logger.warn("event=host-list-unread detail={}", failure.getMessage());
        }
    }

    private void handOn(HostList list) {
        if (!list.equals(last)) {
            last = list;
            logger.info("event=host-list-changed hosts={}", list.hosts().size());
            listener.accept(list);
        }
    }

    @Override
    public void stop() {
        ticker.stop();
        duty.stop();
    }
}
