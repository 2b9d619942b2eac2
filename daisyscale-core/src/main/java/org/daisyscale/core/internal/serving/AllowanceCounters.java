package org.daisyscale.core.internal.serving;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.quota.OrganisationCounts;
import org.daisyscale.core.quota.QuotaAccount;

/**
 * Counts the requests of organisations with an allowance, and publishes the counts of the busiest. Not thread-safe;
 * confined to the core thread.
 */
final class AllowanceCounters {
    /** Number of organisations that are published: the metrics page stays below 100 KB. */
    private static final int PUBLISHED_COUNT = 50;
    /** Number of organisations that are counted, so that a table of very many costs less than 1 MB. */
    private static final int MAX_COUNTED = 5_000;
    /** Interval of the counts, in nanoseconds: shorter than the usual interval at which metrics are read. */
    private static final long INTERVAL_NANOS = 5_000_000_000L;

    private final QuotaAccount account;
    private final Map<String, Counts> countsByOrganisation = new HashMap<>();
    private final Counts uncounted = new Counts();
    private long dueNanos = Long.MAX_VALUE;

    AllowanceCounters(QuotaAccount account) {
        this.account = account;
    }

    void recordReceived(String organisation, long nowNanos) {
        counts(organisation).received++;
        if (dueNanos == Long.MAX_VALUE) {
            dueNanos = nowNanos + INTERVAL_NANOS;
        }
    }

    void recordServed(String organisation) {
        counts(organisation).served++;
    }

    void recordRefused(String organisation, CoreErrorCode reason) {
        if (reason == CoreErrorCode.ALLOWANCE_EXCEEDED) {
            counts(organisation).exceeded++;
        } else {
            counts(organisation).uncertain++;
        }
    }

    /** Returns the counts of {@code organisation}; beyond the limit they share hidden ones. */
    private Counts counts(String organisation) {
        Counts known = countsByOrganisation.get(organisation);
        if (known != null || countsByOrganisation.size() >= MAX_COUNTED) {
            return known == null ? uncounted : known;
        }
        return countsByOrganisation.computeIfAbsent(organisation, name -> new Counts());
    }

    /** Returns the counts of the busiest organisations if they are due; then they changed. */
    Optional<List<OrganisationCounts>> takeDue(long nowNanos) {
        if (dueNanos - nowNanos > 0) {
            return Optional.empty();
        }
        dueNanos = Long.MAX_VALUE;
        return Optional.of(countsByOrganisation.entrySet().stream()
                .sorted(Comparator.comparingLong((Map.Entry<String, Counts> entry) -> -entry.getValue().received)
                        .thenComparing(Map.Entry::getKey))
                .limit(PUBLISHED_COUNT)
                .map(entry -> toRecord(entry.getKey(), entry.getValue(), nowNanos))
                .toList());
    }

    private OrganisationCounts toRecord(String name, Counts counts, long nowNanos) {
        return new OrganisationCounts(
                name,
                counts.received,
                counts.served,
                counts.exceeded,
                counts.uncertain,
                account.heldCount(name, nowNanos),
                account.heldAgeMillis(name, nowNanos));
    }

    /** Returns when {@link #takeDue} is due, by the monotonic clock; {@link Long#MAX_VALUE} for never. */
    long nextDueNanos() {
        return dueNanos;
    }

    private static final class Counts {
        private long received;
        private long served;
        private long exceeded;
        private long uncertain;
    }
}
