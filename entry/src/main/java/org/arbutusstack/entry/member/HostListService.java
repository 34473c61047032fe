package org.arbutusstack.entry.member;

import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpClient;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.EventLoop;
import org.arbutusstack.kernel.ring.Ticker;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.ModelException;
import org.arbutusstack.model.host.Host;
import org.arbutusstack.model.host.HostList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Service that polls the host list of the platform and notifies a listener when the members change.
 *
 * <p>Only a relay reads the list at the configured period; other entries receive changes from the relays and read the
 * list themselves only every {@value #FOLLOWER_PERIOD_MILLIS} ms. The members are retained while the list cannot be
 * read. Runs on an event loop of its own.
 */
public final class HostListService implements Service {

    private static final Logger logger = LoggerFactory.getLogger(HostListService.class);

    private static final int RING_SIZE = 64;

    private static final long TICK_MILLIS = 100;

    private static final long FOLLOWER_PERIOD_MILLIS = 30_000;

    private static final long READ_TIMEOUT_MILLIS = 2_000;

    private final HttpClient client;

    private final HttpTarget target;

    private final Clock clock;

    private final Consumer<HostList> listener;

    private final EventLoop<Runnable> eventLoop = new EventLoop<>("host-list", RING_SIZE, Runnable::run);

    private final Ticker ticker = new Ticker("host-list-ticker");

    private final Predicate<Host> isLinked;

    private final PeerService peers;

    private final long periodMillis;

    private HostList lastRead = new HostList(List.of());

    private long readAtNanos;

    private long relayReadAtNanos;

    private final MemberMetrics metrics;

    private HostList members = new HostList(List.of());

    private boolean implausible;

    /**
     * Create a new {@code HostListService}.
     *
     * @param client the HTTP client that reads the list
     * @param target the server that provides the list
     * @param clock the process clock
     * @param isLinked whether data has recently been received from a host over a link
     * @param peers the links to other entries, which decide whether this entry is a relay and distribute the list
     * @param periodMillis the period at which a relay reads the list, in milliseconds
     * @param metrics the metrics of the members
     * @param listener the listener notified of each change of the members; must not block
     */
    public HostListService(
            HttpClient client,
            HttpTarget target,
            Clock clock,
            Predicate<Host> isLinked,
            PeerService peers,
            long periodMillis,
            MemberMetrics metrics,
            Consumer<HostList> listener) {
        this.peers = Assert.notNull(peers, "peers");
        this.periodMillis = Assert.atLeast(periodMillis, 1, "periodMillis");
        this.metrics = Assert.notNull(metrics, "metrics");
        this.client = Assert.notNull(client, "client");
        this.target = Assert.notNull(target, "target");
        this.clock = Assert.notNull(clock, "clock");
        this.isLinked = Assert.notNull(isLinked, "isLinked");
        this.listener = Assert.notNull(listener, "listener");
    }

    @Override
    public String name() {
        return "host-list";
    }

    @Override
    public void start() {
        eventLoop.start();
        readAtNanos = clock.nowNanos();
        relayReadAtNanos = readAtNanos;
        peers.onHosts(hosts -> eventLoop.offer(() -> applyList(hosts)));
        eventLoop.offer(this::readIfDue);
        ticker.every(TICK_MILLIS, () -> eventLoop.offer(this::readIfDue));
    }

    private void readIfDue() {
        boolean due = peers.isRelay() ? clock.isPast(relayReadAtNanos) : clock.isPast(readAtNanos);
        if (!due) {
            return;
        }
        relayReadAtNanos = clock.deadlineNanos(periodMillis);
        readAtNanos = clock.deadlineNanos(FOLLOWER_PERIOD_MILLIS);
        read();
    }

    private void read() {
        try {
            HttpReply reply = client.call(target, HttpCall.get("/hosts"), clock.deadlineNanos(READ_TIMEOUT_MILLIS))
                    .get();
            if (reply.isSuccess()) {
                publish(JsonCodec.read(reply.body(), HostList.class));
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | ModelException failure) {
            logger.warn("event=host-list-unread detail={}", failure.getMessage());
        }
    }

    private void publish(HostList list) {
        applyList(list);
        if (!list.equals(lastRead)) {
            lastRead = list;
            peers.publish(list);
        }
    }

    private void applyList(HostList list) {
        HostList merged = Membership.merge(members, list, isLinked);
        warnIfImplausible(list, !merged.equals(list));
        if (!merged.equals(members)) {
            members = merged;
            metrics.members(merged.hosts().size());
            logger.info("event=host-list-changed hosts={}", merged.hosts().size());
            listener.accept(merged);
        }
    }

    private void warnIfImplausible(HostList list, boolean isImplausible) {
        if (isImplausible && !implausible) {
            metrics.implausibleList();
            logger.warn(
                    "event=host-list-mistaken listed={} members={}",
                    list.hosts().size(),
                    members.hosts().size());
        }
        implausible = isImplausible;
    }

    @Override
    public void stop() {
        ticker.stop();
        eventLoop.stop();
    }
}
