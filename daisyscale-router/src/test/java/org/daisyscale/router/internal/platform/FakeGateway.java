package org.daisyscale.router.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import org.reactivestreams.Publisher;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.http.ResponseChunks;
import ratpack.server.RatpackServer;
import ratpack.stream.Streams;

/** Implements the part of the etcd JSON gateway that the tests need. Thread-safe. */
final class FakeGateway implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int LOST_ANSWER_STATUS = 504;

    private final RatpackServer server;
    private final Map<String, ObjectNode> kvByKey = new TreeMap<>();
    private final List<Queue<String>> watchQueues = new CopyOnWriteArrayList<>();
    private long revision = 10;
    private long nextLeaseId = 100;
    private volatile int watchGeneration;
    private volatile boolean isTxnAnswerLost;

    FakeGateway() throws Exception {
        server = RatpackServer.start(
                spec -> spec.serverConfig(config -> config.port(0).address(InetAddress.getLoopbackAddress()))
                        .handlers(this::routes));
    }

    String url() {
        return "http://127.0.0.1:" + server.getBindPort();
    }

    void loseTxnAnswers(boolean isLost) {
        isTxnAnswerLost = isLost;
    }

    void endWatches() {
        watchGeneration++;
    }

    synchronized void expireLease(long leaseId) {
        kvByKey.values().removeIf(kv -> kv.get("lease").asLong() == leaseId);
    }

    private void routes(Chain chain) throws Exception {
        chain.post("v3/kv/range", context -> answer(context, this::range))
                .post("v3/kv/txn", context -> answer(context, this::txn))
                .post("v3/lease/grant", context -> answer(context, this::grant))
                .post("v3/lease/keepalive", context -> answer(context, this::keepalive))
                .post("v3/lease/revoke", context -> answer(context, this::revoke))
                .post("v3/watch", this::watch);
    }

    private void answer(Context context, Handler handler) {
        context.getRequest().getBody().then(body -> {
            JsonNode answer = handler.handle(JSON.readTree(body.getText()));
            if (isTxnAnswerLost && context.getRequest().getPath().endsWith("txn")) {
                context.getResponse().status(LOST_ANSWER_STATUS);
            }
            context.getResponse().send("application/json", JSON.writeValueAsString(answer));
        });
    }

    private synchronized JsonNode range(JsonNode request) {
        ArrayNode kvs = JSON.createArrayNode();
        ObjectNode kv = kvByKey.get(request.get("key").asText());
        if (kv != null) {
            kvs.add(kv);
        }
        return JSON.createObjectNode().set("kvs", kvs);
    }

    private synchronized JsonNode txn(JsonNode request) {
        JsonNode compare = request.at("/compare/0");
        ObjectNode kv = kvByKey.get(compare.get("key").asText());
        String field = compare.get("target").asText().equals("MOD") ? "mod_revision" : "create_revision";
        long actual = kv == null ? 0 : kv.get(field).asLong();
        if (actual != compare.get(field).asLong()) {
            return JSON.createObjectNode();
        }
        put((ObjectNode) request.at("/success/0/request_put"));
        return JSON.createObjectNode().put("succeeded", true);
    }

    private void put(ObjectNode put) {
        revision++;
        String key = put.get("key").asText();
        ObjectNode old = kvByKey.get(key);
        String created = old == null
                ? Long.toString(revision)
                : old.get("create_revision").asText();
        ObjectNode kv = put.deepCopy();
        kv.put("create_revision", created).put("mod_revision", Long.toString(revision));
        kv.put("lease", put.path("lease").asText("0"));
        kvByKey.put(key, kv);
        ObjectNode event = JSON.createObjectNode().set("kv", kv);
        watchQueues.forEach(queue -> queue.add("{\"result\":{\"events\":[" + event + "]}}\n"));
    }

    private synchronized JsonNode grant(JsonNode request) {
        nextLeaseId++;
        return JSON.createObjectNode().put("ID", Long.toString(nextLeaseId)).set("TTL", request.get("TTL"));
    }

    private synchronized JsonNode keepalive(JsonNode request) {
        boolean isHeld =
                kvByKey.values().stream().anyMatch(kv -> kv.get("lease").equals(request.get("ID")));
        ObjectNode result = JSON.createObjectNode().put("TTL", isHeld ? "2" : "0");
        return JSON.createObjectNode().set("result", result);
    }

    private synchronized JsonNode revoke(JsonNode request) {
        expireLease(request.get("ID").asLong());
        return JSON.createObjectNode();
    }

    private void watch(Context context) {
        Queue<String> lines = new ConcurrentLinkedQueue<>();
        lines.add("{\"result\":{\"created\":true}}\n");
        watchQueues.add(lines);
        int generation = watchGeneration;
        context.getRequest()
                .getBody()
                .then(body -> context.render(
                        ResponseChunks.stringChunks("application/json", stream(context, lines, generation))));
    }

    private Publisher<String> stream(Context context, Queue<String> lines, int generation) {
        return Streams.periodically(context.getExecution().getController().getExecutor(), Duration.ofMillis(5), i -> {
            List<String> next = new ArrayList<>();
            for (String line = lines.poll(); line != null; line = lines.poll()) {
                next.add(line);
            }
            return generation == watchGeneration ? String.join("", next) + "\n" : null;
        });
    }

    @Override
    public void close() throws Exception {
        server.stop();
    }

    private interface Handler {
        JsonNode handle(JsonNode request);
    }
}
