package org.arbutusstack.entry.audit;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.arbutusstack.audit.AuditAnchor;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.EventLoop;
import org.arbutusstack.kernel.service.Service;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreResult;

/**
 * Service that reads the audit anchors of a host from the key-value service.
 *
 * <p>Runs on an event loop of its own, which blocks on calls to the key-value service. {@link #anchors} may be called
 * by any thread.
 */
public final class AnchorService implements Service {

    /** Name under which the service is registered. */
    public static final String NAME = "anchors";

    private static final int RING_SIZE = 32;

    private static final long READ_TIMEOUT_MILLIS = 5_000;

    private final KeyValueStore store;

    private final Clock clock;

    private final EventLoop<Runnable> eventLoop = new EventLoop<>("anchors", RING_SIZE, Runnable::run);

    /**
     * Create a new {@code AnchorService}.
     *
     * @param store the client of the key-value service
     * @param clock the process clock
     */
    public AnchorService(KeyValueStore store, Clock clock) {
        this.store = Assert.notNull(store, "store");
        this.clock = Assert.notNull(clock, "clock");
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        eventLoop.start();
    }

    /**
     * Read the audit anchors of all incarnations of a host.
     *
     * @param host the name of the host
     * @return a future for the anchors; unavailable if the key-value service could not be read or too many reads are
     * waiting
     */
    public CompletableFuture<AnchorResult> anchors(String host) {
        Assert.hasText(host, "host");
        CompletableFuture<AnchorResult> result = new CompletableFuture<>();
        if (!eventLoop.offer(() -> result.complete(read(host)))) {
            result.complete(new AnchorResult.Unavailable("too many reads wait"));
        }
        return result;
    }

    private AnchorResult read(String host) {
        String prefix = AuditAnchor.key(host, "");
        StoreResult<List<KeyValue>> listed = store.list(prefix, clock.deadlineNanos(READ_TIMEOUT_MILLIS));
        if (!(listed instanceof StoreResult.Done<List<KeyValue>> done)) {
            return new AnchorResult.Unavailable("the key-value service could not be read");
        }
        return new AnchorResult.Found(done.value().stream()
                .map(value -> JsonCodec.read(value.value(), AuditAnchor.class))
                .toList());
    }

    @Override
    public void stop() {
        eventLoop.stop();
    }
}
