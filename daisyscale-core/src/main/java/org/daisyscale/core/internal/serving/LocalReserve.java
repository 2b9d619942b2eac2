package org.daisyscale.core.internal.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.daisyscale.core.quota.QuotaSettings;

/**
 * Lets a router that gets no reply from the controller run a few requests of each organisation. All routers together
 * stay below the slack of the bound, because each uses its share, and only while the routers count each other. Not
 * thread-safe; confined to the core thread.
 */
final class LocalReserve {
    /**
     * Fraction of the slack that is used: half of the slack is granted by a new controller, and when routers come and
     * go, a share passes to another router within the window, so that each may have been used twice.
     */
    private static final double USED_FRACTION = 0.25;
    /** Time added to the window, in nanoseconds: a request may run later than it was counted. */
    private static final long MARGIN_NANOS = 1_000_000_000L;

    private final FleetView fleet;
    private final QuotaSettings settings;
    private final Map<String, SlidingWindowCounter> usedByOrganisation = new HashMap<>();

    LocalReserve(FleetView fleet) {
        this.fleet = fleet;
        this.settings = fleet.settings().quota();
    }

    /** Uses one request of the share of {@code organisation}, and returns whether there was one. */
    boolean tryUse(String organisation, long nowNanos) {
        usedByOrganisation.values().removeIf(used -> used.count(nowNanos) == 0);
        if (!fleet.routers().isComplete(nowNanos)) {
            return false;
        }
        int share = share(organisation, fleet.routers().routerIds(nowNanos));
        SlidingWindowCounter used = usedByOrganisation.get(organisation);
        if ((used == null ? 0 : used.count(nowNanos)) >= share) {
            return false;
        }
        usedByOrganisation.computeIfAbsent(organisation, this::createCounter).add(nowNanos);
        return true;
    }

    private SlidingWindowCounter createCounter(String organisation) {
        return new SlidingWindowCounter(settings.windowMillis() * 1_000_000L + MARGIN_NANOS);
    }

    private int share(String organisation, Set<String> routerIds) {
        int total = (int) Math.floor(settings.slackRequests() * USED_FRACTION);
        return ColdStartLimiter.share(organisation, total, fleet.settings().routerId(), routerIds);
    }
}
