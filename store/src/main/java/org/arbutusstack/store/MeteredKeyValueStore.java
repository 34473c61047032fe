package org.arbutusstack.store;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.time.Clock;

/**
 * Decorator that counts the calls on another store and records their duration.
 *
 * <p>Thread-safe.
 *
 * @see KeyValueStore
 */
public final class MeteredKeyValueStore implements KeyValueStore {

    private static final double NANOS_PER_SECOND = 1e9;

    private final KeyValueStore delegate;

    private final Clock clock;

    private final Counter calls;

    private final Histogram seconds;

    /**
     * Create a store.
     *
     * @param delegate the store whose calls are measured
     * @param clock the source of monotonic time
     * @param metrics the registry of the metrics
     */
    public MeteredKeyValueStore(KeyValueStore delegate, Clock clock, PrometheusRegistry metrics) {
        this.delegate = Assert.notNull(delegate, "delegate");
        this.clock = Assert.notNull(clock, "clock");
        this.calls = Counter.builder()
                .name("arbutus_store_calls_total")
                .help("calls on the key-value service by operation and result")
                .labelNames("operation", "result")
                .register(metrics);
        this.seconds = Histogram.builder()
                .name("arbutus_store_call_seconds")
                .help("time of a call on the key-value service, in seconds")
                .labelNames("operation")
                .classicOnly()
                .register(metrics);
    }

    private <T> StoreResult<T> measure(String operation, Supplier<StoreResult<T>> call) {
        long startedNanos = clock.nowNanos();
        StoreResult<T> result = call.get();
        String label = result.getClass().getSimpleName().toLowerCase(Locale.ROOT);
        calls.labelValues(operation, label).inc();
        seconds.labelValues(operation).observe((clock.nowNanos() - startedNanos) / NANOS_PER_SECOND);
        return result;
    }

    @Override
    public long era() {
        return delegate.era();
    }

    @Override
    public StoreResult<KeyValue> get(String key, long deadlineNanos) {
        return measure("get", () -> delegate.get(key, deadlineNanos));
    }

    @Override
    public StoreResult<List<KeyValue>> list(String prefix, long deadlineNanos) {
        return measure("list", () -> delegate.list(prefix, deadlineNanos));
    }

    @Override
    public StoreResult<Long> compareAndSwap(
            String key, long expectedRevision, byte[] value, long leaseId, long deadlineNanos) {
        return measure("swap", () -> delegate.compareAndSwap(key, expectedRevision, value, leaseId, deadlineNanos));
    }

    @Override
    public StoreResult<Long> delete(String key, long expectedRevision, long deadlineNanos) {
        return measure("delete", () -> delegate.delete(key, expectedRevision, deadlineNanos));
    }

    @Override
    public StoreResult<Long> grantLease(long timeToLiveSeconds, long deadlineNanos) {
        return measure("grant", () -> delegate.grantLease(timeToLiveSeconds, deadlineNanos));
    }

    @Override
    public StoreResult<Boolean> renewLease(long leaseId, long deadlineNanos) {
        return measure("renew", () -> delegate.renewLease(leaseId, deadlineNanos));
    }

    @Override
    public StoreResult<Boolean> revokeLease(long leaseId, long deadlineNanos) {
        return measure("revoke", () -> delegate.revokeLease(leaseId, deadlineNanos));
    }

    @Override
    public Watch watch(String prefix, long fromRevision, long deadlineNanos, WatchListener listener) {
        calls.labelValues("watch", "done").inc();
        return delegate.watch(prefix, fromRevision, deadlineNanos, listener);
    }
}
