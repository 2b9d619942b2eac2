import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
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

/** The platform's store: items with revisions, conditional writes, watches and leases. */
final class Store implements AutoCloseable {
    private record Item(String key, String value, long revision, long createRevision, long lease) {
        Map<String, Object> fields() {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("Key", key);
            fields.put("Value", value);
            fields.put("Revision", revision);
            fields.put("CreateRev", createRevision);
            fields.put("Lease", lease);
            return fields;
        }
    }

    private record Change(String key, long revision, Map<String, Object> fields) {}

    private final ServerSocket server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Long> endOfLease = new HashMap<>();
    private final Map<Long, Long> lifeOfLease = new HashMap<>();
    private long revision = 10;
    private long lastLease = 100;

    Store(String host) throws Exception {
        server = Http.listen(host, this::serve);
        Http.start("leases", () -> {
            while (!server.isClosed()) {
                Thread.sleep(20);
                endLeases();
            }
        });
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Writes an item as the operator or a backend does. */
    synchronized long put(String key, Object value) {
        revision++;
        String text = Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8));
        putItem(key, text, 0);
        notifyAll();
        return revision;
    }

    synchronized void remove(String key) {
        revision++;
        removeItem(key);
        notifyAll();
    }

    /** Returns the value of {@code key} as text; null if there is none. */
    synchronized String get(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    private void putItem(String key, String value, long lease) {
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.createRevision(), lease);
        items.put(key, item);
        history.add(new Change(key, revision, item.fields()));
    }

    private void removeItem(String key) {
        if (items.remove(key) != null) {
            history.add(new Change(key, revision, Map.of("Key", key, "Revision", revision, "Removed", true)));
        }
    }

    private synchronized void endLeases() {
        long now = System.nanoTime();
        List<Long> ended = endOfLease.entrySet().stream()
                .filter(entry -> entry.getValue() - now <= 0)
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(this::endLease);
    }

    private void endLease(long lease) {
        endOfLease.remove(lease);
        lifeOfLease.remove(lease);
        List<String> keys = items.values().stream()
                .filter(item -> item.lease() == lease)
                .map(Item::key)
                .toList();
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::removeItem);
            notifyAll();
        }
    }

    private void serve(Socket socket) throws Exception {
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
            Map<String, Object> body = new LinkedHashMap<>();
            int status = answer(call, body);
            Http.write(
                    out,
                    "HTTP/1.1 " + status + " Status",
                    List.of("Content-Type: application/json"),
                    Json.write(body).getBytes(StandardCharsets.UTF_8));
        }
    }

    private synchronized int answer(Http.Message call, Map<String, Object> body) throws Exception {
        String[] target = call.target().split("\\?", 2);
        Map<String, String> query = query(target.length > 1 ? target[1] : "");
        String path = target[0];
        if (path.equals("/-/kv-key")) {
            Item item = items.get(query.get("Key"));
            if (item != null) {
                body.putAll(item.fields());
            }
            body.put("StoreRevision", revision);
            return item == null ? 404 : 200;
        }
        if (path.equals("/-/kv-range")) {
            String prefix = query.get("Prefix");
            String after = query.getOrDefault("after", "");
            body.put(
                    "items",
                    items.values().stream()
                            .filter(item -> item.key().startsWith(prefix) && item.key().compareTo(after) > 0)
                            .map(Item::fields)
                            .toList());
            body.put("HasMore", false);
            body.put("StoreRevision", revision);
            return 200;
        }
        if (path.equals("/-/kv-watch")) {
            return watch(query, body);
        }
        if (path.equals("/-/kv-txn")) {
            return write(Json.object(call.text()), body);
        }
        if (path.equals("/-/kv-lease")) {
            double seconds = ((Number) Json.object(call.text()).get("TtlS_time")).doubleValue();
            long lease = ++lastLease;
            lifeOfLease.put(lease, (long) (seconds * 1e9));
            endOfLease.put(lease, System.nanoTime() + (long) (seconds * 1e9));
            body.put("Lease", lease);
            body.put("TtlS_time", seconds);
            return 200;
        }
        long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (!lifeOfLease.containsKey(lease)) {
            return 404;
        }
        if (path.startsWith("/-/kv-keep/")) {
            endOfLease.put(lease, System.nanoTime() + lifeOfLease.get(lease));
            body.put("TtlS_time", lifeOfLease.get(lease) / 1e9);
        } else {
            endLease(lease);
        }
        return 200;
    }

    private int watch(Map<String, String> query, Map<String, Object> body) throws InterruptedException {
        String prefix = query.get("Prefix");
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("WaitMs")) * 1_000_000L;
        List<Map<String, Object>> events = List.of();
        while (true) {
            events = history.stream()
                    .filter(change -> change.revision() > after && change.key().startsWith(prefix))
                    .map(Change::fields)
                    .toList();
            long leftMillis = (end - System.nanoTime()) / 1_000_000L;
            if (!events.isEmpty() || leftMillis <= 0) {
                break;
            }
            wait(leftMillis);
        }
        body.put("events", events);
        body.put("StoreRevision", revision);
        return 200;
    }

    @SuppressWarnings("unchecked")
    private int write(Map<String, Object> change, Map<String, Object> body) {
        List<Map<String, Object>> conditions = (List<Map<String, Object>>) change.getOrDefault("ExpectedRev", List.of());
        boolean holds = conditions.stream().allMatch(condition -> {
            Item item = items.get((String) condition.get("Key"));
            return (item == null ? 0 : item.revision()) == ((Number) condition.get("Revision")).longValue();
        });
        if (!holds) {
            body.put(
                    "items",
                    conditions.stream()
                            .map(condition -> items.get((String) condition.get("Key")))
                            .filter(item -> item != null)
                            .map(Item::fields)
                            .toList());
            return 412;
        }
        List<Map<String, Object>> puts = (List<Map<String, Object>>) change.getOrDefault("Puts", List.of());
        for (Map<String, Object> put : puts) {
            Object lease = put.get("Lease");
            if (lease instanceof Number number && number.longValue() != 0 && !endOfLease.containsKey(number.longValue())) {
                return 404;
            }
        }
        revision++;
        puts.forEach(put -> putItem(
                (String) put.get("Key"),
                (String) put.get("Value"),
                put.get("Lease") instanceof Number lease ? lease.longValue() : 0));
        ((List<Object>) change.getOrDefault("Deletes", List.of())).forEach(key -> removeItem((String) key));
        body.put("Revision", revision);
        notifyAll();
        return 200;
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            String[] parts = pair.split("=", 2);
            if (parts.length == 2) {
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    @Override
    public void close() throws Exception {
        server.close();
    }
}
