package stage;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of the platform's store by PROTOCOL.md, with its whole history. */
final class Store {

    /** An item as it is; a change is an item too, without a value if it was deleted. */
    record Item(String key, byte[] value, long revision, long created, long lease) {
        String json() {
            return value == null
                    ? "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}"
                    : "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
                            + "\",\"revision\":" + revision + ",\"created\":" + created + ",\"lease\":" + lease + "}";
        }
    }

    final Http.Server server;
    /** The channels on which a watch waits. */
    final Set<Socket> waiting = ConcurrentHashMap.newKeySet();
    volatile boolean down;
    private final Map<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseMillis = new HashMap<>();
    private long revision = 1;
    private long lastLease = 1000;

    Store(String address, int port) throws IOException {
        server = new Http.Server(address, port, this::handle);
        Http.daemon(this::expire);
    }

    String address() {
        return server.socket.getInetAddress().getHostAddress() + ":" + server.socket.getLocalPort();
    }

    private void expire() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime();
                for (Long lease : List.copyOf(leaseEnds.keySet())) {
                    if (!down && now - leaseEnds.get(lease) >= 0) {
                        end(lease);
                    }
                }
            }
            Stage.sleep(20);
        }
    }

    private synchronized void end(long lease) {
        leaseEnds.remove(lease);
        for (Item item : List.copyOf(items.values())) {
            if (item.lease == lease) {
                remove(item.key);
            }
        }
    }

    synchronized long put(String key, String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    private long put(String key, byte[] value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.created, lease);
        items.put(key, item);
        history.add(item);
        notifyAll();
        return revision;
    }

    synchronized long remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Item(key, null, revision, 0, 0));
            notifyAll();
        }
        return revision;
    }

    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? "" : new String(item.value, StandardCharsets.UTF_8);
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        for (String part : mark < 0 ? new String[0] : target.substring(mark + 1).split("&")) {
            int equals = part.indexOf('=');
            query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private boolean handle(Http.Message request, Socket channel, OutputStream out) throws Exception {
        String target = request.target();
        if (down) {
            Http.json(out, 503, "{}");
            return true;
        }
        if (target.startsWith("/kv-watch")) {
            return watch(query(target), channel, out);
        }
        synchronized (this) {
            if (target.startsWith("/kv-key")) {
                Item item = items.get(query(target).get("key"));
                String body = item == null ? "{}" : item.json();
                String rest = (item == null ? "" : ",") + "\"current-rev\":" + revision + "}";
                Http.json(out, item == null ? 404 : 200, body.substring(0, body.length() - 1) + rest);
            } else if (target.startsWith("/kv-range")) {
                range(query(target), out);
            } else if (target.startsWith("/kv-txn")) {
                transact(Json.object(request.text()), out);
            } else if (target.startsWith("/kv-lease-end/")) {
                end(Long.parseLong(target.substring("/kv-lease-end/".length())));
                Http.json(out, 200, "{}");
            } else if (target.startsWith("/kv-lease")) {
                long ttl = ((Double) Json.object(request.text()).get("ttl-ms")).longValue();
                lastLease++;
                leaseMillis.put(lastLease, ttl);
                leaseEnds.put(lastLease, System.nanoTime() + ttl * 1_000_000);
                Http.json(out, 200, "{\"lease\":" + lastLease + ",\"ttl-ms\":" + ttl + "}");
            } else if (target.startsWith("/kv-keep/")) {
                long lease = Long.parseLong(target.substring("/kv-keep/".length()));
                boolean known = leaseEnds.containsKey(lease);
                if (known) {
                    leaseEnds.put(lease, System.nanoTime() + leaseMillis.get(lease) * 1_000_000);
                }
                Http.json(out, known ? 200 : 404, known ? "{\"ttl-ms\":" + leaseMillis.get(lease) + "}" : "{}");
            } else {
                Http.json(out, 400, "{}");
            }
        }
        return true;
    }

    private void range(Map<String, String> query, OutputStream out) throws IOException {
        StringBuilder list = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Item item : items.values()) {
            if (item.key.startsWith(query.getOrDefault("path-prefix", ""))
                    && item.key.compareTo(query.getOrDefault("after", "")) > 0) {
                more = count == 500;
                if (more) {
                    break;
                }
                list.append(count++ == 0 ? "" : ",").append(item.json());
            }
        }
        Http.json(out, 200, "{\"items\":[" + list + "],\"more-pages\":" + more + ",\"current-rev\":" + revision + "}");
    }

    private boolean watch(Map<String, String> query, Socket channel, OutputStream out) throws Exception {
        long after = Long.parseLong(query.get("after"));
        long endNanos = System.nanoTime() + Long.parseLong(query.get("wait-ms")) * 1_000_000;
        String prefix = query.getOrDefault("path-prefix", "");
        StringBuilder events = new StringBuilder();
        long current;
        waiting.add(channel);
        synchronized (this) {
            while (true) {
                for (Item item : history) {
                    if (item.revision > after && item.key.startsWith(prefix)) {
                        events.append(events.length() == 0 ? "" : ",").append(item.json());
                    }
                }
                long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
                if (events.length() > 0 || leftMillis <= 0 || channel.isClosed() || down) {
                    break;
                }
                wait(Math.min(leftMillis, 50));
            }
            current = revision;
        }
        waiting.remove(channel);
        Http.json(out, 200, "{\"events\":[" + events + "],\"current-rev\":" + current + "}");
        return true;
    }

    private void transact(Map<String, Object> body, OutputStream out) throws IOException {
        StringBuilder states = new StringBuilder();
        boolean holds = true;
        for (Map<String, Object> row : Json.rows(body.get("precondition"))) {
            Item item = items.get((String) row.get("key"));
            holds &= (item == null ? 0 : item.revision) == ((Double) row.get("revision")).longValue();
            states.append(states.length() == 0 || item == null ? "" : ",").append(item == null ? "" : item.json());
        }
        if (!holds) {
            Http.json(out, 412, "{\"items\":[" + states + "]}");
            return;
        }
        for (Map<String, Object> row : Json.rows(body.get("set-keys"))) {
            long lease = row.get("lease") == null ? 0 : ((Double) row.get("lease")).longValue();
            if (lease != 0 && !leaseEnds.containsKey(lease)) {
                Http.json(out, 404, "{}");
                return;
            }
        }
        for (Map<String, Object> row : Json.rows(body.get("set-keys"))) {
            long lease = row.get("lease") == null ? 0 : ((Double) row.get("lease")).longValue();
            put((String) row.get("key"), Base64.getDecoder().decode((String) row.get("value")), lease);
        }
        if (body.get("remove") instanceof List<?> keys) {
            keys.forEach(key -> remove((String) key));
        }
        Http.json(out, 200, "{\"revision\":" + revision + "}");
    }

    /** Cut the watches that wait now, as PROTOCOL.md says may happen; return how many there were. */
    int cutWaitingWatches() {
        int count = 0;
        for (Socket channel : waiting) {
            waiting.remove(channel);
            try {
                channel.close();
            } catch (IOException ignored) {
                // It is closed in any case.
            }
            count++;
        }
        return count;
    }
}
