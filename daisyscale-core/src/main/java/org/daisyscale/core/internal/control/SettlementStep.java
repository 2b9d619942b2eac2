package org.daisyscale.core.internal.control;

import java.util.List;
import java.util.OptionalLong;
import org.daisyscale.core.Moment;
import org.daisyscale.core.TimingSettings;
import org.daisyscale.core.document.ServicePolicy;
import org.daisyscale.core.internal.configuration.ConfigurationTracker;
import org.daisyscale.core.internal.ownership.RangeKey;
import org.daisyscale.core.internal.ownership.RenewalAuthority;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.ownership.RangeAssignment;
import org.daisyscale.core.ownership.SliceAssignment;

/**
 * Settles each assignment whose predecessor can no longer act: either the predecessor confirmed giving it up, or a
 * majority of the seats confirmed the change and since then one witness period and the lifetime of the longest grant
 * or order have passed. Not thread-safe; confined to the core thread.
 */
final class SettlementStep implements PlanStep {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long PER_MILLE = 1_000L;
    private static final long WAIT_MARGIN_MILLIS = 20;

    private final TimingSettings timing;
    private final RenewalAuthority authority;
    private final ConfigurationTracker configuration;
    private final FleetReports reports;
    private final ConfirmationTracker confirmations;

    SettlementStep(
            TimingSettings timing,
            RenewalAuthority authority,
            ConfigurationTracker configuration,
            FleetReports reports,
            ConfirmationTracker confirmations) {
        this.timing = timing;
        this.authority = authority;
        this.configuration = configuration;
        this.reports = reports;
        this.confirmations = confirmations;
    }

    @Override
    public OwnershipMap plan(OwnershipMap map, Moment now) {
        List<SliceAssignment> slices =
                map.slices().stream().map(slice -> settle(slice, now)).toList();
        List<RangeAssignment> ranges =
                map.ranges().stream().map(range -> settle(range, now)).toList();
        return MapEdits.withRanges(MapEdits.withSlices(map, slices), ranges);
    }

    private SliceAssignment settle(SliceAssignment slice, Moment now) {
        if (slice.predecessor().isEmpty() || !mayBeGranted(slice, now)) {
            return slice;
        }
        return new SliceAssignment(
                slice.service(), slice.startHash(), slice.endHash(), slice.server(), slice.epoch(), "");
    }

    private boolean mayBeGranted(SliceAssignment slice, Moment now) {
        boolean isGivenUp = checksOrders(slice.service())
                && reports.givenUpVersion(slice.predecessor()) >= slice.epoch()
                && confirmations.isConfirmedWithin(slice, timing.moveConfirmationLimitMillis());
        return isGivenUp || hasWaitElapsed(confirmations.confirmedNanos(slice), maxOrderMillis(slice.service()), now);
    }

    private RangeAssignment settle(RangeAssignment range, Moment now) {
        if (range.isSettled() || !mayBeDispatched(range, now)) {
            return range;
        }
        return new RangeAssignment(
                range.service(), range.range(), range.router(), range.epoch(), range.firstEpoch(), "");
    }

    private boolean mayBeDispatched(RangeAssignment range, Moment now) {
        long releasedEpoch = reports.releasedEpoch(RangeKey.of(range));
        boolean isReleased = releasedEpoch >= range.epoch();
        return isReleased || hasWaitElapsed(confirmations.confirmedNanos(range), timing.permitLifeMillis(), now);
    }

    private boolean hasWaitElapsed(OptionalLong confirmedNanos, long lifetimeMillis, Moment now) {
        if (confirmedNanos.isEmpty()) {
            return false;
        }
        long waitMillis = authority.periodMillis() + lifetimeMillis;
        long driftMillis = waitMillis * timing.driftPerMille() / PER_MILLE;
        long waitNanos = (waitMillis + driftMillis + WAIT_MARGIN_MILLIS) * NANOS_PER_MILLI;
        return now.nanos() - confirmedNanos.getAsLong() >= waitNanos;
    }

    private long maxOrderMillis(String service) {
        return checksOrders(service) ? timing.grantLifeMillis() : timing.uncheckedStartLimitMillis();
    }

    private boolean checksOrders(String service) {
        return configuration
                .policies()
                .service(service)
                .map(ServicePolicy::checksOrders)
                .orElse(true);
    }
}
