package org.daisyscale.core.internal.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.daisyscale.core.keys.KeyLoad;

/** Records the keys of requests for periodic key load reports. Not thread-safe; confined to the core thread. */
final class KeyLoadRecorder {
    /** Interval between reports, in milliseconds; hot keys change within seconds. */
    private static final long REPORT_INTERVAL_MILLIS = 250;
    /** Maximum number of sampled keys of a service in one report; more samples would not change the result. */
    private static final int MAX_KEYS = 2_000;

    private final FleetView fleet;
    private final Map<String, List<Integer>> keysByService = new TreeMap<>();
    private long dueNanos;
    private boolean isStarted;

    KeyLoadRecorder(FleetView fleet) {
        this.fleet = fleet;
    }

    void recordKey(String service, int key, long nowNanos) {
        if (!isStarted) {
            isStarted = true;
            dueNanos = nowNanos + REPORT_INTERVAL_MILLIS * 1_000_000L;
        }
        List<Integer> keys = keysByService.computeIfAbsent(service, name -> new ArrayList<>());
        if (keys.size() < MAX_KEYS) {
            keys.add(key);
        }
    }

    /** Returns the reports that are due and clears the recorded keys. */
    List<KeyLoad> takeDue(long nowNanos) {
        if (!isStarted || nowNanos - dueNanos < 0) {
            return List.of();
        }
        isStarted = false;
        List<KeyLoad> loads = new ArrayList<>();
        keysByService.forEach((service, keys) -> loads.add(new KeyLoad(service, keys, serviceMillis(service))));
        keysByService.clear();
        return loads;
    }

    private Map<String, Double> serviceMillis(String service) {
        Map<String, Double> millisByServer = new HashMap<>();
        fleet.servers()
                .ofService(service)
                .forEach(view -> view.takeMeanServiceMillis()
                        .ifPresent(millis -> millisByServer.put(view.server().id(), millis)));
        return millisByServer;
    }

    /** Returns when the next report is due, by the monotonic clock; {@link Long#MAX_VALUE} for never. */
    long nextDueNanos() {
        return isStarted ? dueNanos : Long.MAX_VALUE;
    }
}
