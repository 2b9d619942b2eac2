package org.daisyscale.router.internal.platform;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.PropertyNamingStrategies.SnakeCaseStrategy;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import java.util.List;

/**
 * The request and response bodies of the published etcd v3 JSON gateway, limited to the fields in use. Bytes are in
 * base64, 64-bit numbers are strings, and fields that are zero or empty may be missing. The records are immutable
 * except for their arrays, which must not be modified.
 */
final class EtcdMessages {

    private EtcdMessages() {}

    static <T> List<T> listOrEmpty(List<T> list) {
        return list == null ? List.of() : list;
    }

    record RangeRequest(byte[] key) {}

    @JsonNaming(SnakeCaseStrategy.class)
    record KeyValue(byte[] key, byte[] value, long createRevision, long modRevision, long lease) {

        byte[] valueOrEmpty() {
            return value == null ? new byte[0] : value;
        }
    }

    record RangeResponse(List<KeyValue> kvs) {}

    @JsonNaming(SnakeCaseStrategy.class)
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record Compare(byte[] key, String target, String result, String createRevision, String modRevision) {

        static Compare isAbsent(byte[] key) {
            return new Compare(key, "CREATE", "EQUAL", "0", null);
        }

        static Compare hasModRevision(byte[] key, long version) {
            return new Compare(key, "MOD", "EQUAL", null, Long.toString(version));
        }
    }

    @JsonInclude(JsonInclude.Include.NON_NULL)
    record PutRequest(byte[] key, byte[] value, String lease) {}

    @JsonNaming(SnakeCaseStrategy.class)
    record RequestOp(PutRequest requestPut) {}

    record TxnRequest(List<Compare> compare, List<RequestOp> success) {}

    record TxnResponse(boolean succeeded) {}

    record GrantRequest(@JsonProperty("TTL") String timeToLiveSeconds) {}

    record GrantResponse(@JsonProperty("ID") long leaseId) {}

    record LeaseRequest(@JsonProperty("ID") String leaseId) {}

    record KeepAliveResponse(KeepAliveResult result) {}

    record KeepAliveResult(@JsonProperty("TTL") long timeToLiveSeconds) {}

    @JsonNaming(SnakeCaseStrategy.class)
    record WatchRequest(RangeRequest createRequest) {}

    record WatchResponse(WatchResult result) {}

    record WatchResult(boolean created, boolean canceled, List<WatchEvent> events) {}

    record WatchEvent(String type, KeyValue kv) {
        private static final String DELETE = "DELETE";

        boolean isDelete() {
            return DELETE.equals(type);
        }
    }
}
