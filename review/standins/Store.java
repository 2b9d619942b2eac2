import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's store, see "The platform's metadata store" in PROTOCOL.md. */
final class Store {
    static final ObjectMapper JSON = new ObjectMapper();

    /** What the store does with a call. */
    enum Treatment {
        SERVE,
        /** Answers 503; nothing is done. */
        REJECT,
        /** Does nothing and returns nothing. */
        SILENT
    }

    /** Decides how a call of a machine is treated. */
    interface Policy {
        Treatment treat(String machine, String method, String target);
    }

    private record Entry(byte[] value, long revision, long created, long lease) {}

    private final Map<String, Entry> entries = new TreeMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private final Map<Long, Long> leaseEndNanos = new HashMap<>();
    private final Map<Long, Long> leaseTtlNanos = new HashMap<>();
    private final Record record;
    private long revision = 100;
    private long lastLease = 70_000;
    private volatile Policy policy = (machine, method, target) -> Treatment.SERVE;

    Store(Record record) {
        this.record = record;
    }

    void setPolicy(Policy newPolicy) {
        policy = newPolicy;
    }

    /** Opens an address of the store for {@code machine}, so that its calls can be told apart; returns the port. */
    int open(String machine) throws IOException {
        return new Http.Server("127.0.0.1", request -> handle(machine, request)).port();
    }

    /** Writes as the operator or a backend does; the return is the ack. */
    synchronized void put(String key, String json) {
        write(key, json.getBytes(StandardCharsets.UTF_8), 0);
    }

    synchronized void delete(String key) {
        remove(key);
    }

    /** Returns the value of the only key that ends with {@code end}, or null. */
    synchronized String valueOf(String end) {
        expire();
        return entries.entrySet().stream()
                .filter(entry -> entry.getKey().endsWith(end))
                .map(entry -> new String(entry.getValue().value(), StandardCharsets.UTF_8))
                .findFirst()
                .orElse(null);
    }

    private void write(String key, byte[] value, long lease) {
        revision++;
        Entry before = entries.get(key);
        entries.put(key, new Entry(value, revision, before == null ? revision : before.created(), lease));
        history.add(item(key));
        notifyAll();
    }

    private void remove(String key) {
        if (entries.remove(key) != null) {
            revision++;
            history.add(JSON.createObjectNode().put("Key", key).put("Revision", revision).put("Removed", true));
            notifyAll();
        }
    }

    private ObjectNode item(String key) {
        Entry entry = entries.get(key);
        return JSON.createObjectNode()
                .put("Key", key)
                .put("Value", Base64.getEncoder().encodeToString(entry.value()))
                .put("Revision", entry.revision())
                .put("CreateRev", entry.created())
                .put("Lease", entry.lease());
    }

    private void expire() {
        long now = System.nanoTime();
        for (Long lease : List.copyOf(leaseEndNanos.keySet())) {
            if (leaseEndNanos.get(lease) - now <= 0) {
                end(lease);
            }
        }
    }

    private void end(long lease) {
        leaseEndNanos.remove(lease);
        for (String key : List.copyOf(entries.keySet())) {
            if (entries.get(key).lease() == lease) {
                remove(key);
            }
        }
    }

    private Http.Reply handle(String machine, Http.Message request) throws Exception {
        Treatment treatment = policy.treat(machine, request.method(), request.target());
        if (treatment == Treatment.SILENT) {
            return Http.Reply.silent();
        }
        if (treatment == Treatment.REJECT) {
            return Http.Reply.of(503, "{}");
        }
        Http.Reply reply = answer(request);
        return policy.treat(machine, request.method(), request.target()) == Treatment.SILENT
                ? Http.Reply.silent()
                : reply;
    }

    private synchronized Http.Reply answer(Http.Message request) throws Exception {
        expire();
        String[] target = request.target().split("\\?", 2);
        Map<String, String> query = query(target.length > 1 ? target[1] : "");
        String path = target[0];
        if (path.equals("/-/kv-key")) {
            return entries.containsKey(query.get("Key")) ? ok(item(query.get("Key"))) : Http.Reply.of(404, "{}");
        } else if (path.equals("/-/kv-range")) {
            return range(query);
        } else if (path.equals("/-/kv-watch")) {
            return watch(query);
        } else if (path.equals("/-/kv-txn")) {
            return transact(JSON.readTree(request.body()));
        } else if (path.equals("/-/kv-lease")) {
            double ttl = JSON.readTree(request.body()).get("TtlS_time").doubleValue();
            long lease = ++lastLease;
            leaseTtlNanos.put(lease, (long) (ttl * 1e9));
            leaseEndNanos.put(lease, System.nanoTime() + (long) (ttl * 1e9));
            return ok(JSON.createObjectNode().put("Lease", lease).put("TtlS_time", ttl));
        }
        long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (!leaseEndNanos.containsKey(lease)) {
            return Http.Reply.of(404, "{}");
        } else if (path.startsWith("/-/kv-keep/")) {
            leaseEndNanos.put(lease, System.nanoTime() + leaseTtlNanos.get(lease));
            return ok(JSON.createObjectNode().put("TtlS_time", leaseTtlNanos.get(lease) / 1e9));
        }
        end(lease);
        return ok(JSON.createObjectNode());
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String part : text.split("&")) {
            String[] pair = part.split("=", 2);
            query.put(pair[0], pair.length > 1 ? URLDecoder.decode(pair[1], StandardCharsets.UTF_8) : "");
        }
        return query;
    }

    private Http.Reply range(Map<String, String> query) {
        ObjectNode page = JSON.createObjectNode();
        ArrayNode items = page.putArray("items");
        String after = query.getOrDefault("after", "");
        entries.keySet().stream()
                .filter(key -> key.startsWith(query.get("Prefix")) && key.compareTo(after) > 0)
                .forEach(key -> items.add(item(key)));
        return ok(page.put("HasMore", false));
    }

    private Http.Reply watch(Map<String, String> query) throws InterruptedException {
        long endNanos = System.nanoTime() + Long.parseLong(query.get("WaitMs")) * 1_000_000L;
        ArrayNode events = events(query);
        while (events.isEmpty() && endNanos - System.nanoTime() > 0) {
            wait(10);
            expire();
            events = events(query);
        }
        ObjectNode body = JSON.createObjectNode();
        body.set("events", events);
        return ok(body);
    }

    private ArrayNode events(Map<String, String> query) {
        ArrayNode events = JSON.createArrayNode();
        long after = Long.parseLong(query.get("after"));
        history.stream()
                .filter(event -> event.get("Revision").longValue() > after
                        && event.get("Key").textValue().startsWith(query.get("Prefix")))
                .forEach(events::add);
        return events;
    }

    private Http.Reply transact(JsonNode call) {
        for (JsonNode condition : call.get("ExpectedRev")) {
            Entry entry = entries.get(condition.get("Key").textValue());
            if ((entry == null ? 0 : entry.revision()) != condition.get("Revision").longValue()) {
                ObjectNode body = JSON.createObjectNode();
                body.putArray("items");
                return Http.Reply.of(412, body.toString());
            }
        }
        for (JsonNode put : call.get("Puts")) {
            long lease = put.get("Lease").longValue();
            if (lease != 0 && !leaseEndNanos.containsKey(lease)) {
                return Http.Reply.of(404, "{}");
            }
        }
        for (JsonNode put : call.get("Puts")) {
            String key = put.get("Key").textValue();
            write(key, Base64.getDecoder().decode(put.get("Value").textValue()), put.get("Lease").longValue());
            record.line("store: " + key + " written at revision " + revision);
        }
        call.get("Deletes").forEach(key -> remove(key.textValue()));
        return ok(JSON.createObjectNode().put("Revision", revision));
    }

    private Http.Reply ok(ObjectNode body) {
        return Http.Reply.of(200, body.put("StoreRevision", revision).toString())
                .with("Content-Type", "application/json");
    }
}
