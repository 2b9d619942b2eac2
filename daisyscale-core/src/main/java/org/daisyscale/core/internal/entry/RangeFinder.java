package org.daisyscale.core.internal.entry;

import java.util.Optional;
import org.daisyscale.core.Moment;
import org.daisyscale.core.internal.ownership.DispatchDuties;
import org.daisyscale.core.internal.ownership.OwnershipMapTracker;
import org.daisyscale.core.internal.ownership.RangeKey;
import org.daisyscale.core.internal.ownership.Witness;
import org.daisyscale.core.ownership.KeyHash;
import org.daisyscale.core.ownership.RangeAssignment;
import org.daisyscale.core.ownership.SliceAssignment;

/**
 * Finds the dispatch range of a request and its dispatcher. The range follows from the owner of the key in an exclusive
 * service, and from the request's idempotency key (or its request id) in a pooled one, so that each resend reaches the
 * same ledger. Not thread-safe; confined to the core thread.
 */
public final class RangeFinder {
    private final OwnershipMapTracker maps;
    private final DispatchDuties duties;
    private final Witness witness;

    /** Creates a finder that reads the given map, duties and witness. */
    public RangeFinder(OwnershipMapTracker maps, DispatchDuties duties, Witness witness) {
        this.maps = maps;
        this.duties = duties;
        this.witness = witness;
    }

    /**
     * Returns the request's range with its current dispatcher: the settled one if this router hears from it, else for
     * an idempotent kind the stand-in; empty when there is none.
     */
    Optional<RangeAssignment> find(EntryRequest request, Moment now) {
        Optional<RangeAssignment> assignment = rangeOf(request).flatMap(key -> maps.range(key.service(), key.range()));
        Optional<RangeAssignment> reachable =
                assignment.filter(RangeAssignment::isSettled).filter(range -> witness.isHeard(range.router(), now));
        if (reachable.isPresent() || !request.kind().isIdempotent()) {
            return reachable;
        }
        return assignment.flatMap(range -> standIn(range, now));
    }

    private Optional<RangeAssignment> standIn(RangeAssignment range, Moment now) {
        return duties.standIn(RangeKey.of(range), now)
                .map(router -> new RangeAssignment(
                        range.service(), range.range(), router, range.epoch(), range.firstEpoch(), ""));
    }

    /** Returns the assignment of {@code key}, settled or not. */
    Optional<RangeAssignment> assignment(RangeKey key) {
        return maps.range(key.service(), key.range());
    }

    private Optional<RangeKey> rangeOf(EntryRequest request) {
        String service = request.service().name();
        if (request.service().isExclusive()) {
            return maps.slice(service, request.keyHash())
                    .map(SliceAssignment::server)
                    .map(server -> duties.rangeOf(service, server));
        }
        String id = request.meta().idempotencyKey();
        String bucketKey = id.isEmpty() ? request.requestId() : id;
        return Optional.of(new RangeKey(
                service, KeyHash.bucket(bucketKey, request.service().dispatchRangeCount())));
    }
}
