package org.arbutusstack.store.etcd;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.util.Map;
import org.arbutusstack.http.client.HttpException;
import org.arbutusstack.http.client.HttpResponseListener;
import org.arbutusstack.kernel.ring.IsolatedSteps;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore.WatchListener;
import org.arbutusstack.store.StoreException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decodes the stream of changes of a watch, one JSON object per line. Used by a single I/O thread. */
final class EtcdWatch implements HttpResponseListener {

    private static final Logger logger = LoggerFactory.getLogger(EtcdWatch.class);

    private static final int OK = 200;

    private final WatchListener listener;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    private boolean refused;

    EtcdWatch(WatchListener listener) {
        this.listener = listener;
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
        refused = status != OK;
    }

    @Override
    public void onBytes(byte[] bytes) {
        for (byte value : bytes) {
            if (value != '\n') {
                line.write(value);
                continue;
            }
            handleLine(line.toByteArray());
            line.reset();
        }
    }

    private void handleLine(byte[] json) {
        if (refused || json.length == 0) {
            return;
        }
        try {
            EtcdMessages.read(json)
                    .path("result")
                    .path("events")
                    .forEach(event -> IsolatedSteps.run("watch", () -> dispatch(event)));
        } catch (StoreException malformed) {
            logger.warn("event=watch-malformed detail={}", malformed.getMessage());
        }
    }

    private void dispatch(JsonNode event) {
        KeyValue keyValue = EtcdMessages.keyValue(event.path("kv"));
        if ("DELETE".equals(event.path("type").asText())) {
            listener.onDelete(keyValue.key());
            return;
        }
        listener.onChange(keyValue);
    }

    @Override
    public void onEnd() {
        listener.onEnded(refused ? "refused" : "ended");
    }

    @Override
    public void onFailure(HttpException failure) {
        listener.onEnded(failure.getMessage());
    }
}
