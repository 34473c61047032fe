import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
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
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store, by PROTOCOL.md and the news (Store-Era): items, leases, watches, transactions, drills. */
final class Store {

    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Event(String key, long revision, Item item) {}

    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Long> leaseEndNanos = new HashMap<>();
    private final Map<Long, Long> leaseMillis = new HashMap<>();
    private long revision = 10;
    private long oldest = 10;
    private long lastLease = 100;
    private long era = 1;
    private volatile boolean away;
    private TreeMap<String, Item> copyItems = new TreeMap<>();
    private long copyRevision;
    private long copyLease;

    Store(String host, int port) throws IOException {
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(host, port), 200);
        daemon(this::accept);
        daemon(this::expire);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                if (away) {
                    reset(socket);
                } else {
                    sockets.add(socket);
                    daemon(() -> serve(socket));
                }
            } catch (IOException ended) {
                return;
            }
        }
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException closed) {
            // It is closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            var in = new java.io.BufferedInputStream(socket.getInputStream());
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                Thread.sleep(4);
                String[] answer = answer(call);
                if (away) {
                    reset(socket);
                    return;
                }
                byte[] body = Http.bytes(answer[1]);
                OutputStream out = socket.getOutputStream();
                out.write(concat(Http.bytes("HTTP/1.1 " + answer[0] + " x\r\nContent-Type: application/json\r\nStore-Era: "
                        + answer[2] + "\r\nContent-Length: " + body.length + "\r\n\r\n"), body));
                out.flush();
            }
        } catch (IOException | InterruptedException ended) {
            // The caller has gone.
        } finally {
            sockets.remove(socket);
        }
    }

    static byte[] concat(byte[] first, byte[] second) {
        byte[] both = java.util.Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, both, first.length, second.length);
        return both;
    }

    private static String query(String target, String name) {
        int mark = target.indexOf('?');
        for (String pair : mark < 0 ? new String[0] : target.substring(mark + 1).split("&")) {
            if (pair.startsWith(name + "=")) {
                return URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
        }
        return "";
    }

    private String[] answer(Http.Message call) throws InterruptedException {
        String target = call.target();
        String path = target.split("\\?")[0];
        String body = new String(call.body, StandardCharsets.UTF_8);
        if (path.equals("/kv-watch")) {
            return watch(target);
        }
        synchronized (this) {
            String now = Long.toString(era);
            if (path.equals("/kv-key")) {
                Item item = items.get(query(target, "key"));
                return item == null
                        ? new String[] {"404", "{\"current-rev\":" + revision + "}", now}
                        : new String[] {"200", json(item).replaceFirst("}$", ",\"current-rev\":" + revision + "}"), now};
            } else if (path.equals("/kv-range")) {
                List<String> found = new ArrayList<>();
                for (Item item : items.tailMap(query(target, "after"), false).values()) {
                    if (item.key().startsWith(query(target, "path-prefix"))) {
                        found.add(json(item));
                    }
                }
                return new String[] {"200", "{\"items\":[" + String.join(",", found)
                        + "],\"more-pages\":false,\"current-rev\":" + revision + "}", now};
            } else if (path.equals("/kv-txn")) {
                return transact(body, now);
            } else if (path.equals("/kv-lease")) {
                long ttl = number(body, "ttl-ms");
                lastLease++;
                leaseMillis.put(lastLease, ttl);
                leaseEndNanos.put(lastLease, System.nanoTime() + ttl * 1_000_000);
                return new String[] {"200", "{\"lease\":" + lastLease + ",\"ttl-ms\":" + ttl + "}", now};
            } else if (path.startsWith("/kv-keep/")) {
                long lease = Long.parseLong(path.substring(9));
                if (!leaseEndNanos.containsKey(lease)) {
                    return new String[] {"404", "{}", now};
                }
                leaseEndNanos.put(lease, System.nanoTime() + leaseMillis.get(lease) * 1_000_000);
                return new String[] {"200", "{\"ttl-ms\":" + leaseMillis.get(lease) + "}", now};
            } else if (path.startsWith("/kv-lease-end/")) {
                endLease(Long.parseLong(path.substring(14)));
                return new String[] {"200", "{}", now};
            }
            return new String[] {"404", "{}", now};
        }
    }

    private static String json(Item item) {
        return "{\"key\":\"" + item.key() + "\",\"value\":\"" + item.value() + "\",\"revision\":" + item.revision()
                + ",\"created\":" + item.created() + ",\"lease\":" + item.lease() + "}";
    }

    private static long number(String json, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\":(\\d+)").matcher(json);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    private String[] watch(String target) throws InterruptedException {
        long after = Long.parseLong(query(target, "after"));
        String prefix = query(target, "path-prefix");
        long end = System.nanoTime() + Long.parseLong(query(target, "wait-ms")) * 1_000_000;
        synchronized (this) {
            while (true) {
                if (after < oldest || after > revision) {
                    return new String[] {"410", "{}", Long.toString(era)};
                }
                List<String> events = new ArrayList<>();
                for (Event event : history) {
                    if (event.revision() > after && event.key().startsWith(prefix)) {
                        events.add(event.item() != null
                                ? json(event.item())
                                : "{\"key\":\"" + event.key() + "\",\"revision\":" + event.revision()
                                        + ",\"deleted\":true}");
                    }
                }
                long left = (end - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || left <= 0) {
                    return new String[] {"200", "{\"events\":[" + String.join(",", events) + "],\"current-rev\":"
                            + revision + "}", Long.toString(era)};
                }
                wait(left);
            }
        }
    }

    private String[] transact(String body, String now) {
        Matcher row = Pattern.compile("\\{\"key\":\"([^\"]*)\",\"revision\":(\\d+)\\}").matcher(body);
        while (row.find()) {
            Item item = items.get(row.group(1));
            if ((item == null ? 0 : item.revision()) != Long.parseLong(row.group(2))) {
                return new String[] {"412", "{\"items\":[" + (item == null ? "" : json(item)) + "]}", now};
            }
        }
        Matcher set = Pattern.compile("\\{\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)\\}").matcher(body);
        List<String[]> sets = new ArrayList<>();
        while (set.find()) {
            long lease = Long.parseLong(set.group(3));
            if (lease != 0 && !leaseEndNanos.containsKey(lease)) {
                return new String[] {"404", "{}", now};
            }
            sets.add(new String[] {set.group(1), set.group(2), set.group(3)});
        }
        revision++;
        for (String[] each : sets) {
            Item before = items.get(each[0]);
            Item item = new Item(
                    each[0], each[1], revision, before == null ? revision : before.created(), Long.parseLong(each[2]));
            items.put(each[0], item);
            history.add(new Event(each[0], revision, item));
        }
        notifyAll();
        return new String[] {"200", "{\"revision\":" + revision + "}", now};
    }

    private void endLease(long lease) {
        if (leaseEndNanos.remove(lease) != null) {
            for (Item item : new ArrayList<>(items.values())) {
                if (item.lease() == lease) {
                    remove(item.key());
                }
            }
        }
    }

    private void expire() {
        while (true) {
            synchronized (this) {
                for (long lease : new ArrayList<>(leaseEndNanos.keySet())) {
                    if (System.nanoTime() - leaseEndNanos.get(lease) > 0) {
                        endLease(lease);
                    }
                }
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException ended) {
                return;
            }
        }
    }

    /** Write what the operator or a runner writes. */
    synchronized long put(String key, String value) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(
                key,
                Base64.getEncoder().encodeToString(Http.bytes(value)),
                revision,
                before == null ? revision : before.created(),
                0);
        items.put(key, item);
        history.add(new Event(key, revision, item));
        notifyAll();
        return revision;
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Event(key, revision, null));
            notifyAll();
        }
    }

    synchronized boolean has(String key) {
        return items.containsKey(key);
    }

    boolean isAway() {
        return away;
    }

    /** Keep the copy from which the store comes back after a drill. */
    synchronized void backUp() {
        copyItems = new TreeMap<>(items);
        copyRevision = revision;
        copyLease = lastLease;
    }

    /** Begin a drill: the store is away. */
    void goAway() {
        away = true;
        sockets.forEach(Store::reset);
        synchronized (this) {
            notifyAll();
        }
    }

    /** End a drill: the store comes back from its copy; leases that were given since are gone. */
    synchronized void comeBackFromCopy() {
        items.clear();
        items.putAll(copyItems);
        revision = copyRevision;
        oldest = copyRevision;
        history.clear();
        leaseEndNanos.keySet().removeIf(lease -> lease > copyLease);
        lastLease = copyLease;
        era++;
        away = false;
    }

    /** End an outage without any loss. */
    void comeBack() {
        away = false;
    }
}
