package org.daisyscale.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.CaseFormat;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.daisyscale.testkit.error.TestkitErrorCode;
import org.daisyscale.testkit.error.TestkitException;

/**
 * The messages of the published etcd v3 JSON gateway: base64 keys and values, 64-bit numbers as texts, fields of zero
 * left out, names with underscores or in camel case. Stateless and safe for use by any thread.
 */
final class EtcdMessages {

    private EtcdMessages() {}

    static JsonNode field(JsonNode node, String name) {
        JsonNode value = node.path(name);
        return value.isMissingNode() ? node.path(CaseFormat.LOWER_UNDERSCORE.to(CaseFormat.LOWER_CAMEL, name)) : value;
    }

    static long number(JsonNode node, String name) {
        return field(node, name).asLong();
    }

    static KeyRange range(JsonNode node) {
        return KeyRange.ofBase64(
                field(node, "key").asText(), field(node, "range_end").asText());
    }

    static List<Compare> compares(JsonNode transaction) {
        List<Compare> compares = new ArrayList<>();
        field(transaction, "compare").forEach(node -> compares.add(compare(node)));
        return compares;
    }

    private static Compare compare(JsonNode node) {
        String key = KeyRange.decode(field(node, "key").asText());
        try {
            var target = Compare.Target.valueOf(field(node, "target").asText("VERSION"));
            var result = Compare.Result.valueOf(field(node, "result").asText("EQUAL"));
            return new Compare(key, target, result, number(node, expectedField(target)));
        } catch (IllegalArgumentException e) {
            throw new TestkitException(TestkitErrorCode.BAD_MESSAGE, "compare " + node, e);
        }
    }

    private static String expectedField(Compare.Target target) {
        return switch (target) {
            case VERSION -> "version";
            case CREATE -> "create_revision";
            case MOD -> "mod_revision";
        };
    }

    static List<Operation> operations(JsonNode nodes) {
        List<Operation> operations = new ArrayList<>();
        nodes.forEach(node -> operations.add(operation(node)));
        return operations;
    }

    private static Operation operation(JsonNode node) {
        if (!field(node, "request_put").isMissingNode()) {
            return put(field(node, "request_put"));
        }
        if (!field(node, "request_delete_range").isMissingNode()) {
            return new Operation.DeleteRange(range(field(node, "request_delete_range")));
        }
        if (!field(node, "request_range").isMissingNode()) {
            return new Operation.Range(range(field(node, "request_range")));
        }
        throw new TestkitException(TestkitErrorCode.BAD_MESSAGE, "operation " + node);
    }

    static Operation.Put put(JsonNode node) {
        return new Operation.Put(
                KeyRange.decode(field(node, "key").asText()),
                field(node, "value").asText(),
                number(node, "lease"));
    }

    static Map<String, Object> header(long revision) {
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("header", Map.of("cluster_id", "1", "member_id", "1", "revision", "" + revision, "raft_term", "1"));
        return answer;
    }

    static Map<String, Object> rangeAnswer(long revision, List<KeyValue> found) {
        Map<String, Object> answer = header(revision);
        if (!found.isEmpty()) {
            answer.put("kvs", found.stream().map(EtcdMessages::keyValue).toList());
            answer.put("count", "" + found.size());
        }
        return answer;
    }

    private static Map<String, Object> keyValue(KeyValue value) {
        Map<String, Object> message = new LinkedHashMap<>();
        message.put("key", KeyRange.encode(value.key()));
        putUnlessZero(message, "create_revision", value.createRevision());
        putUnlessZero(message, "mod_revision", value.modRevision());
        putUnlessZero(message, "version", value.version());
        if (!value.valueBase64().isEmpty()) {
            message.put("value", value.valueBase64());
        }
        putUnlessZero(message, "lease", value.leaseId());
        return message;
    }

    private static void putUnlessZero(Map<String, Object> message, String name, long number) {
        if (number != 0) {
            message.put(name, Long.toString(number));
        }
    }

    static Map<String, Object> event(Change change) {
        Map<String, Object> message = new LinkedHashMap<>();
        if (change.isDelete()) {
            message.put("type", "DELETE");
        }
        message.put("kv", keyValue(change.keyValue()));
        return message;
    }

    static Map<String, Object> error(int grpcCode, String text) {
        return Map.of("error", text, "code", grpcCode, "message", text);
    }
}
