package org.arbutusstack.store.etcd;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.function.Function;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpClient;
import org.arbutusstack.http.client.HttpException;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreException;
import org.arbutusstack.store.StoreResult;

/**
 * {@link KeyValueStore} implementation that uses the JSON gateway of etcd v3.
 *
 * <p>A status of 429 or 503 means that a call was refused without effect; after any other failure of a write that was
 * sent, it is unknown whether the write took effect. Thread-safe.
 *
 * @see KeyValueStore
 */
public final class EtcdKeyValueStore implements KeyValueStore {

    private static final int TOO_MANY_REQUESTS = 429;

    private static final int UNAVAILABLE = 503;

    private final HttpClient client;

    private final HttpTarget target;

    /**
     * Create a store.
     *
     * @param client the client that sends the calls
     * @param target the address of the gateway
     */
    public EtcdKeyValueStore(HttpClient client, HttpTarget target) {
        this.client = Assert.notNull(client, "client");
        this.target = Assert.notNull(target, "target");
    }

    @Override
    public StoreResult<KeyValue> get(String key, long deadlineNanos) {
        return call("/v3/kv/range", EtcdMessages.range(key), deadlineNanos, response -> {
            List<KeyValue> found = EtcdMessages.keyValues(response);
            return new StoreResult.Done<>(found.isEmpty() ? KeyValue.absent(key) : found.get(0));
        });
    }

    @Override
    public StoreResult<List<KeyValue>> list(String prefix, long deadlineNanos) {
        return call(
                "/v3/kv/range",
                EtcdMessages.prefixRange(prefix),
                deadlineNanos,
                response -> new StoreResult.Done<>(EtcdMessages.keyValues(response)));
    }

    @Override
    public StoreResult<Long> compareAndSwap(
            String key, long expectedRevision, byte[] value, long leaseId, long deadlineNanos) {
        byte[] body = EtcdMessages.swap(key, expectedRevision, value, leaseId);
        return call("/v3/kv/txn", body, deadlineNanos, EtcdKeyValueStore::decodeTransaction);
    }

    @Override
    public StoreResult<Long> delete(String key, long expectedRevision, long deadlineNanos) {
        byte[] body = EtcdMessages.deletion(key, expectedRevision);
        return call("/v3/kv/txn", body, deadlineNanos, EtcdKeyValueStore::decodeTransaction);
    }

    private static StoreResult<Long> decodeTransaction(JsonNode response) {
        if (!response.path("succeeded").asBoolean(false)) {
            return new StoreResult.Conflict<>();
        }
        return new StoreResult.Done<>(EtcdMessages.revision(response));
    }

    @Override
    public StoreResult<Long> grantLease(long timeToLiveSeconds, long deadlineNanos) {
        return call(
                "/v3/lease/grant",
                EtcdMessages.leaseGrant(timeToLiveSeconds),
                deadlineNanos,
                response -> new StoreResult.Done<>(response.path("ID").asLong()));
    }

    @Override
    public StoreResult<Boolean> renewLease(long leaseId, long deadlineNanos) {
        return call(
                "/v3/lease/keepalive",
                EtcdMessages.lease(leaseId),
                deadlineNanos,
                response -> new StoreResult.Done<>(
                        response.path("result").path("TTL").asLong() > 0));
    }

    @Override
    public StoreResult<Boolean> revokeLease(long leaseId, long deadlineNanos) {
        return call(
                "/v3/lease/revoke",
                EtcdMessages.lease(leaseId),
                deadlineNanos,
                response -> new StoreResult.Done<>(true));
    }

    @Override
    public Watch watch(String prefix, long fromRevision, long deadlineNanos, WatchListener listener) {
        Assert.notNull(listener, "listener");
        HttpCall call = HttpCall.post("/v3/watch", EtcdMessages.watch(prefix, fromRevision));
        HttpClient.Cancellable handle = client.stream(target, call, deadlineNanos, new EtcdWatch(listener));
        return handle::cancel;
    }

    private <T> StoreResult<T> call(
            String path, byte[] body, long deadlineNanos, Function<JsonNode, StoreResult<T>> decoder) {
        HttpReply reply;
        try {
            reply = client.call(target, HttpCall.post(path, body), deadlineNanos)
                    .get();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return new StoreResult.Unknown<>("interrupted");
        } catch (ExecutionException failure) {
            return failureResult(failure.getCause());
        }
        if (reply.status() == TOO_MANY_REQUESTS || reply.status() == UNAVAILABLE) {
            return new StoreResult.NotDone<>("the key-value service answered " + reply.status());
        }
        if (!reply.isSuccess()) {
            return new StoreResult.Unknown<>("the key-value service answered " + reply.status());
        }
        return decode(reply, decoder);
    }

    private static <T> StoreResult<T> decode(HttpReply reply, Function<JsonNode, StoreResult<T>> decoder) {
        try {
            return decoder.apply(EtcdMessages.read(reply.body()));
        } catch (StoreException | IllegalArgumentException malformed) {
            return new StoreResult.Unknown<>(malformed.getMessage());
        }
    }

    private static <T> StoreResult<T> failureResult(Throwable cause) {
        boolean maybeSent = !(cause instanceof HttpException failure) || failure.maybeSent();
        String detail = String.valueOf(cause.getMessage());
        return maybeSent ? new StoreResult.Unknown<>(detail) : new StoreResult.NotDone<>(detail);
    }
}
