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
 * Reads the anchors of a host's runs from the key-value service.
 *
 * <p>Runs on a duty of its own, which waits for the key-value service. {@link #anchors} may be called by any thread.
 */
public final class AnchorService implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "anchors";

    private static final int RING_SIZE = 32;

    private static final long CALL_MILLIS = 5_000;

    private final KeyValueStore store;

    private final Clock clock;

    private final EventLoop<Runnable> duty = new EventLoop<>("anchors", RING_SIZE, Runnable::run);

    /**
     * Creates the service.
     *
     * @param store the key-value service
     * @param clock the clock of the process
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
        duty.start();
    }

    /**
     * Reads the anchors of a host's runs.
     *
     * @param process the host's name
     * @return the anchors; unavailable if the key-value service could not be read or too many reads wait
     */
    public CompletableFuture<AnchorResult> anchors(String process) {
        Assert.hasText(process, "process");
        CompletableFuture<AnchorResult> result = new CompletableFuture<>();
        if (!duty.offer(() -> result.complete(read(process)))) {
            result.complete(new AnchorResult.Unavailable("too many reads wait"));
        }
        return result;
    }

    private AnchorResult read(String process) {
        String prefix = AuditAnchor.key(process, "");
        StoreResult<List<KeyValue>> listed = store.list(prefix, clock.deadlineNanos(CALL_MILLIS));
        if (!(listed instanceof StoreResult.Done<List<KeyValue>> done)) {
            return new AnchorResult.Unavailable("the key-value service could not be read");
        }
        return new AnchorResult.Found(done.value().stream()
                .map(value -> JsonCodec.read(value.value(), AuditAnchor.class))
                .toList());
    }

    @Override
    public void stop() {
        duty.stop();
    }
}
