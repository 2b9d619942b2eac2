package org.daisyscale.testkit.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Keys, revisions and leases in memory, with the time passed in. Each transaction that changes something raises the
 * revision by one. Keeps the newest changes for watches that begin late. Not safe for use by several threads.
 */
final class KeyValueStore {
    private static final int HISTORY_LIMIT = 10_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final TreeMap<String, KeyValue> values = new TreeMap<>();
    private final Map<Long, LeaseState> leases = new HashMap<>();
    private final Deque<Change> history = new ArrayDeque<>();
    private long revision = 1;
    private long lastLeaseId = 7_000;

    long revision() {
        return revision;
    }

    List<KeyValue> range(KeyRange range) {
        return values.values().stream().filter(kv -> range.contains(kv.key())).toList();
    }

    boolean holds(List<Compare> compares) {
        return compares.stream()
                .allMatch(compare -> compare.holds(values.getOrDefault(compare.key(), KeyValue.absent(compare.key()))));
    }

    /** Whether each lease that {@code operations} write under is alive. */
    boolean hasLeasesOf(List<Operation> operations) {
        return operations.stream()
                .allMatch(operation -> !(operation instanceof Operation.Put put)
                        || put.leaseId() == 0
                        || leases.containsKey(put.leaseId()));
    }

    /** Applies the writes of {@code operations} at the next revision, and returns what changed. */
    List<Change> apply(List<Operation> operations) {
        List<Change> changes = new ArrayList<>();
        long next = revision + 1;
        for (Operation operation : operations) {
            if (operation instanceof Operation.Put put) {
                changes.add(put(put, next));
            } else if (operation instanceof Operation.DeleteRange delete) {
                changes.addAll(delete(range(delete.range()), next));
            }
        }
        return commit(changes);
    }

    private Change put(Operation.Put put, long next) {
        KeyValue before = values.getOrDefault(put.key(), KeyValue.absent(put.key()));
        detach(before);
        KeyValue after = before.rewritten(put.valueBase64(), next, put.leaseId());
        values.put(put.key(), after);
        if (put.leaseId() != 0) {
            leases.get(put.leaseId()).keys().add(put.key());
        }
        return new Change(false, after);
    }

    private List<Change> delete(List<KeyValue> doomed, long next) {
        List<Change> changes = new ArrayList<>();
        for (KeyValue value : doomed) {
            detach(value);
            values.remove(value.key());
            changes.add(new Change(true, new KeyValue(value.key(), "", 0, next, 0, 0)));
        }
        return changes;
    }

    private void detach(KeyValue value) {
        LeaseState lease = leases.get(value.leaseId());
        if (lease != null) {
            lease.keys().remove(value.key());
        }
    }

    private List<Change> commit(List<Change> changes) {
        if (!changes.isEmpty()) {
            revision++;
        }
        for (Change change : changes) {
            history.addLast(change);
            if (history.size() > HISTORY_LIMIT) {
                history.removeFirst();
            }
        }
        return changes;
    }

    /** The kept changes at {@code startRevision} or later. */
    List<Change> changesSince(long startRevision) {
        return history.stream()
                .filter(change -> change.keyValue().modRevision() >= startRevision)
                .toList();
    }

    /** Grants a lease of {@code ttlSeconds} seconds and returns its id. */
    long grantLease(long ttlSeconds, long nowNanos) {
        long id = ++lastLeaseId;
        leases.put(id, new LeaseState(ttlSeconds, nowNanos + ttlSeconds * NANOS_PER_SECOND, new HashSet<>()));
        return id;
    }

    /** Renews a lease and returns its time to live in seconds, or empty when it has ended. */
    Optional<Long> keepAlive(long leaseId, long nowNanos) {
        LeaseState lease = leases.get(leaseId);
        if (lease == null) {
            return Optional.empty();
        }
        leases.put(leaseId, lease.renewed(nowNanos));
        return Optional.of(lease.ttlSeconds());
    }

    /** Ends a lease with its keys; empty when there is no such lease. */
    Optional<List<Change>> revoke(long leaseId) {
        LeaseState lease = leases.get(leaseId);
        if (lease == null) {
            return Optional.empty();
        }
        List<KeyValue> doomed = lease.keys().stream().sorted().map(values::get).toList();
        List<Change> changes = commit(delete(doomed, revision + 1));
        leases.remove(leaseId);
        return Optional.of(changes);
    }

    /** Ends the leases whose time is over, and returns what changed. */
    List<Change> expire(long nowNanos) {
        List<Long> expired = leases.entrySet().stream()
                .filter(entry -> entry.getValue().endNanos() - nowNanos <= 0)
                .map(Map.Entry::getKey)
                .toList();
        List<Change> changes = new ArrayList<>();
        expired.forEach(id -> changes.addAll(revoke(id).orElseThrow()));
        return changes;
    }

    /** A lease with its keys. */
    private record LeaseState(long ttlSeconds, long endNanos, Set<String> keys) {

        LeaseState renewed(long nowNanos) {
            return new LeaseState(ttlSeconds, nowNanos + ttlSeconds * NANOS_PER_SECOND, keys);
        }
    }
}
