package org.arbutusstack.store.etcd;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.testng.annotations.Test;

/** Tests {@link EtcdWatch}. */
public class EtcdWatchTests {

    private final List<String> changed = new ArrayList<>();

    /** Guards against changes that nobody hears of, since another one in the same message could not be read. */
    @Test
    public void shouldPassOtherEventsOnWhenOneIsUnreadable() {
        EtcdWatch watch = new EtcdWatch(new KeyValueStore.WatchListener() {
            @Override
            public void onChange(KeyValue keyValue) {
                changed.add(keyValue.key());
            }

            @Override
            public void onDelete(String key) {
                changed.add("deleted " + key);
            }

            @Override
            public void onEnded(String cause) {
                changed.add("ended");
            }
        });
        watch.onHead(200, Map.of());
        watch.onBytes("{\"result\":{\"events\":[{\"kv\":{\"key\":\"?\"}},{\"kv\":{\"key\":\"YQ==\"}}]}}\n"
                .getBytes(StandardCharsets.UTF_8));
        assertEquals(changed, List.of("a"));
    }
}
