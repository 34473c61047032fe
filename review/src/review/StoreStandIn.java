package review;

import java.io.IOException;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Sound stand-in of the platform's store, as PROTOCOL.md describes it. */
final class StoreStandIn implements AutoCloseable {
    private record Item(String key, String value, long revision, long created, long lease) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private final Http.Server server;
    private long revision = 10;
    private long nextLease = 100;

    StoreStandIn(String address) throws IOException {
        server = new Http.Server(address, 0, this::handle);
        Http.daemon(this::expire);
    }

    int port() {
        return server.port();
    }

    private void expire() {
        while (true) {
            try {
                Thread.sleep(20);
            } catch (InterruptedException ended) {
                return;
            }
            synchronized (this) {
                long now = System.nanoTime();
                List<Long> ended = new ArrayList<>();
                leases.forEach((id, lease) -> {
                    if (now - lease[1] > 0) {
                        ended.add(id);
                    }
                });
                ended.forEach(this::endLease);
            }
        }
    }

    private synchronized void endLease(long id) {
        leases.remove(id);
        for (Item item : List.copyOf(items.values())) {
            if (item.lease() == id) {
                remove(item.key());
            }
        }
    }

    /** Write a key as an operator or a runner does. */
    synchronized void put(String key, String text) {
        write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? "" : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    private void write(String key, String value, long lease) {
        revision++;
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.created(), lease);
        items.put(key, item);
        history.add(view(item));
        notifyAll();
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            Map<String, Object> event = new LinkedHashMap<>();
            event.put("key", key);
            event.put("revision", revision);
            event.put("deleted", true);
            history.add(event);
            notifyAll();
        }
    }

    private static Map<String, Object> view(Item item) {
        Map<String, Object> view = new LinkedHashMap<>();
        view.put("key", item.key());
        view.put("value", item.value());
        view.put("revision", item.revision());
        view.put("created", item.created());
        view.put("lease", item.lease());
        return view;
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                int equal = pair.indexOf('=');
                query.put(pair.substring(0, equal), URLDecoder.decode(pair.substring(equal + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private boolean handle(Http.Message request, Socket connection) throws Exception {
        String path = request.target().replaceFirst("\\?.*", "");
        Map<String, String> query = query(request.target());
        Map<String, Object> body = request.body().length == 0
                ? Map.of()
                : Json.object(Json.read(new String(request.body(), StandardCharsets.UTF_8)));
        Map<String, Object> reply = new LinkedHashMap<>();
        int status = 200;
        synchronized (this) {
            if (path.equals("/kv-key")) {
                Item item = items.get(query.get("key"));
                status = item == null ? 404 : 200;
                reply = item == null ? reply : view(item);
            } else if (path.equals("/kv-range")) {
                List<Object> list = new ArrayList<>();
                for (Item item : items.tailMap(query.getOrDefault("after", ""), false).values()) {
                    if (item.key().startsWith(query.get("path-prefix"))) {
                        list.add(view(item));
                    }
                }
                reply.put("items", list);
                reply.put("more-pages", false);
            } else if (path.equals("/kv-watch")) {
                reply.put("events", watch(query));
            } else if (path.equals("/kv-txn")) {
                status = transact(body, reply);
            } else if (path.equals("/kv-lease")) {
                long ttl = Math.max(1_000, (Long) body.get("ttl-ms"));
                long id = nextLease++;
                leases.put(id, new long[] {ttl, System.nanoTime() + ttl * 1_000_000});
                reply.put("lease", id);
                reply.put("ttl-ms", ttl);
            } else if (path.startsWith("/kv-keep/")) {
                long[] lease = leases.get(Long.parseLong(path.substring("/kv-keep/".length())));
                status = lease == null ? 404 : 200;
                if (lease != null) {
                    lease[1] = System.nanoTime() + lease[0] * 1_000_000;
                }
            } else if (path.startsWith("/kv-lease-end/")) {
                endLease(Long.parseLong(path.substring("/kv-lease-end/".length())));
            } else {
                status = 404;
            }
            reply.put("current-rev", revision);
        }
        byte[] bytes = Json.write(reply).getBytes(StandardCharsets.UTF_8);
        Http.answer(connection, status, Map.of("Content-Type", "application/json"), bytes);
        return true;
    }

    private List<Object> watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait-ms")) * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Map<String, Object> event : history) {
                if ((Long) event.get("revision") > after
                        && ((String) event.get("key")).startsWith(query.get("path-prefix"))) {
                    events.add(event);
                }
            }
            long leftMillis = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMillis <= 0) {
                return events;
            }
            wait(leftMillis);
        }
    }

    private int transact(Map<String, Object> body, Map<String, Object> reply) {
        List<Object> conflicts = new ArrayList<>();
        boolean holds = true;
        for (Object row : Json.list(body.get("precondition"))) {
            String key = (String) Json.object(row).get("key");
            Item item = items.get(key);
            long current = item == null ? 0 : item.revision();
            holds &= current == (Long) Json.object(row).get("revision");
            conflicts.add(item == null ? Map.of("key", key, "revision", 0L, "deleted", true) : view(item));
        }
        if (!holds) {
            reply.put("items", conflicts);
            return 412;
        }
        for (Object set : Json.list(body.get("set-keys"))) {
            Object lease = Json.object(set).get("lease");
            if (lease != null && (Long) lease != 0 && !leases.containsKey((Long) lease)) {
                return 404;
            }
        }
        for (Object set : Json.list(body.get("set-keys"))) {
            Object lease = Json.object(set).get("lease");
            write((String) Json.object(set).get("key"), (String) Json.object(set).get("value"),
                    lease == null ? 0 : (Long) lease);
        }
        for (Object key : Json.list(body.get("remove"))) {
            remove((String) key);
        }
        reply.put("revision", revision);
        return 200;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
