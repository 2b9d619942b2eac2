package org.daisyscale.core.internal.dispatch;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import org.daisyscale.core.Moment;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.ownership.RangeKey;
import org.daisyscale.core.ownership.RangeAssignment;
import org.daisyscale.core.peer.PeerMessage;

/**
 * Holds the ranges that this router dispatches as a stand-in for a dispatcher that has been silent for longer than a
 * takeover lasts; for idempotent requests only. Invariant: order ids stay unique, since a range is kept as long as its
 * epoch lasts. Not thread-safe; confined to the core thread.
 */
final class StandInRanges {
    private final DispatchContext context;
    private final Function<RangeAssignment, RangeDispatcher> rangeFactory;
    private final Map<RangeKey, RangeDispatcher> ranges = new TreeMap<>();

    StandInRanges(DispatchContext context, Function<RangeAssignment, RangeDispatcher> rangeFactory) {
        this.context = context;
        this.rangeFactory = rangeFactory;
    }

    /**
     * Returns the range in which {@code request} may be dispatched here, creating it if needed; empty when it may not.
     */
    Optional<RangeDispatcher> rangeFor(PeerMessage.PermitRequest request, Moment now, Outbox out) {
        RangeKey key = new RangeKey(request.service(), request.range());
        boolean isIdempotent = context.configuration()
                .policies()
                .kind(request.service(), request.kind())
                .map(RequestKind::isIdempotent)
                .orElse(false);
        if (!isIdempotent || !context.duties().isStandIn(key, now)) {
            return Optional.empty();
        }
        return context.maps().range(key.service(), key.range()).map(assignment -> range(assignment, now, out));
    }

    private RangeDispatcher range(RangeAssignment assignment, Moment now, Outbox out) {
        RangeKey key = RangeKey.of(assignment);
        RangeDispatcher known = ranges.get(key);
        if (known != null && known.epoch() == assignment.epoch()) {
            return known;
        }
        RangeDispatcher created = rangeFactory.apply(assignment);
        created.runHousekeeping(now, out);
        ranges.put(key, created);
        return created;
    }

    Optional<RangeDispatcher> find(RangeKey key) {
        return Optional.ofNullable(ranges.get(key));
    }

    Collection<RangeDispatcher> all() {
        return ranges.values();
    }

    /**
     * Runs the housekeeping of the ranges that this router still stands in for, and rejects the requests of the others
     * as retryable, so that their entry routers request permits from the dispatcher.
     */
    void runHousekeeping(Moment now, Outbox out) {
        ranges.forEach((key, range) -> {
            if (context.duties().isStandIn(key, now)) {
                range.runHousekeeping(now, out);
            } else {
                range.rejectAll(out);
            }
        });
    }
}
