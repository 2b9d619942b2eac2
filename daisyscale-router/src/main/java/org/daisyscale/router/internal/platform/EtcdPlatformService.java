package org.daisyscale.router.internal.platform;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.daisyscale.codec.json.JsonCodec;
import org.daisyscale.core.platform.Lease;
import org.daisyscale.core.platform.PlatformService;
import org.daisyscale.core.platform.VersionedValue;
import org.daisyscale.core.platform.WriteOutcome;
import org.daisyscale.router.internal.platform.EtcdMessages.Compare;
import org.daisyscale.router.internal.platform.EtcdMessages.GrantRequest;
import org.daisyscale.router.internal.platform.EtcdMessages.GrantResponse;
import org.daisyscale.router.internal.platform.EtcdMessages.KeepAliveResponse;
import org.daisyscale.router.internal.platform.EtcdMessages.KeyValue;
import org.daisyscale.router.internal.platform.EtcdMessages.LeaseRequest;
import org.daisyscale.router.internal.platform.EtcdMessages.PutRequest;
import org.daisyscale.router.internal.platform.EtcdMessages.RangeRequest;
import org.daisyscale.router.internal.platform.EtcdMessages.RangeResponse;
import org.daisyscale.router.internal.platform.EtcdMessages.RequestOp;
import org.daisyscale.router.internal.platform.EtcdMessages.TxnRequest;
import org.daisyscale.router.internal.platform.EtcdMessages.TxnResponse;

/**
 * Implements the platform's service over the published etcd v3 JSON gateway. A value's version is its modification
 * revision. A lease's term is the creation revision of its key, which rises with each new holder. A compare-and-swap is
 * sent only once: when its response is lost, the outcome is {@link WriteOutcome#UNKNOWN}. Thread-safe.
 *
 * <pre>{@code
 * try (PlatformService platform = new EtcdPlatformService("http://10.0.0.5:2379", codec, Duration.ofSeconds(1))) {
 *     Optional<VersionedValue> map = platform.get("daisyscale/region-1/map");
 * }
 * }</pre>
 */
public final class EtcdPlatformService implements PlatformService {
    private static final String RANGE = "/v3/kv/range";
    private static final String TXN = "/v3/kv/txn";
    private static final String LEASE_GRANT = "/v3/lease/grant";
    private static final String LEASE_KEEPALIVE = "/v3/lease/keepalive";
    private static final String LEASE_REVOKE = "/v3/lease/revoke";
    private static final long MILLIS_PER_SECOND = 1_000;

    private final EtcdClient client;
    private final Duration timeout;

    /**
     * Creates an adapter for several endpoints, which are tried in turn.
     *
     * @param urls the URLs of the endpoints, separated by commas
     * @param timeout the timeout of each call
     * @throws PlatformException if a URL is not valid
     */
    public EtcdPlatformService(String urls, JsonCodec codec, Duration timeout) {
        this.client = new EtcdClient(urls, codec, timeout);
        this.timeout = timeout;
    }

    @Override
    public Optional<VersionedValue> get(String key) {
        return keyValue(key).map(kv -> new VersionedValue(key, kv.valueOrEmpty(), kv.modRevision()));
    }

    @Override
    public WriteOutcome compareAndSwap(String key, long expectedVersion, byte[] bytes) {
        byte[] rawKey = utf8(key);
        Compare compare =
                expectedVersion == 0 ? Compare.isAbsent(rawKey) : Compare.hasModRevision(rawKey, expectedVersion);
        try {
            boolean isWritten = putIf(compare, new PutRequest(rawKey, bytes, null));
            return isWritten ? WriteOutcome.ACCEPTED : WriteOutcome.REFUSED;
        } catch (PlatformException e) {
            return WriteOutcome.UNKNOWN;
        }
    }

    @Override
    public Optional<Lease> acquireLease(String key, String holder, Duration timeToLive) {
        Optional<KeyValue> held = keyValue(key);
        if (held.isPresent()) {
            return held.map(kv -> lease(key, kv))
                    .filter(lease -> lease.holder().equals(holder))
                    .filter(this::renewLease);
        }
        long leaseId = grant(timeToLive);
        boolean isAcquired =
                putIf(Compare.isAbsent(utf8(key)), new PutRequest(utf8(key), utf8(holder), Long.toString(leaseId)));
        if (!isAcquired) {
            revoke(leaseId);
            return Optional.empty();
        }
        return keyValue(key).map(kv -> lease(key, kv)).filter(lease -> lease.leaseId() == leaseId);
    }

    @Override
    public boolean renewLease(Lease lease) {
        LeaseRequest request = new LeaseRequest(Long.toString(lease.leaseId()));
        KeepAliveResponse answer = client.callIdempotent(LEASE_KEEPALIVE, request, KeepAliveResponse.class);
        return answer.result() != null && answer.result().timeToLiveSeconds() > 0;
    }

    @Override
    public void releaseLease(Lease lease) {
        revoke(lease.leaseId());
    }

    @Override
    public Optional<String> leaseHolder(String key) {
        return keyValue(key).map(EtcdPlatformService::holder);
    }

    @Override
    public AutoCloseable watch(List<String> keys, Consumer<VersionedValue> onChange, Runnable onLost) {
        return EtcdWatch.open(client, keys, timeout, onChange, onLost);
    }

    private Optional<KeyValue> keyValue(String key) {
        RangeResponse answer = client.callIdempotent(RANGE, new RangeRequest(utf8(key)), RangeResponse.class);
        return EtcdMessages.listOrEmpty(answer.kvs()).stream().findFirst();
    }

    private boolean putIf(Compare compare, PutRequest put) {
        TxnRequest request = new TxnRequest(List.of(compare), List.of(new RequestOp(put)));
        return client.callAtMostOnce(TXN, request, TxnResponse.class).succeeded();
    }

    private long grant(Duration timeToLive) {
        long seconds = Math.max(1, (timeToLive.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
        GrantRequest request = new GrantRequest(Long.toString(seconds));
        return client.callIdempotent(LEASE_GRANT, request, GrantResponse.class).leaseId();
    }

    private void revoke(long leaseId) {
        client.callIdempotent(LEASE_REVOKE, new LeaseRequest(Long.toString(leaseId)), Object.class);
    }

    private static Lease lease(String key, KeyValue kv) {
        return new Lease(key, holder(kv), kv.lease(), kv.createRevision());
    }

    private static String holder(KeyValue kv) {
        return new String(kv.valueOrEmpty(), StandardCharsets.UTF_8);
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        client.close();
    }
}
