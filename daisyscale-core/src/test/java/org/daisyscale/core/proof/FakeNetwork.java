package org.daisyscale.core.proof;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The links between routers, to backend servers and to the platform, with delay, reordering, duplicates and cuts. Not
 * thread-safe; confined to the thread of the run.
 */
final class FakeNetwork {
    static final String PLATFORM = "platform";
    static final String SERVERS = "servers";
    private static final int DUPLICATE_PERCENT = 10;

    private final VirtualScheduler scheduler;
    private final SplittableRandom random;
    private final Map<String, Integer> cuts = new HashMap<>();
    private int chaosCount;

    FakeNetwork(VirtualScheduler scheduler, SplittableRandom random) {
        this.scheduler = scheduler;
        this.random = random;
    }

    void adjustCuts(String from, String to, int delta) {
        cuts.merge(from + ">" + to, delta, Integer::sum);
    }

    boolean isCut(String from, String to) {
        return cuts.getOrDefault(from + ">" + to, 0) > 0;
    }

    void adjustChaos(int delta) {
        chaosCount += delta;
    }

    /**
     * Schedules {@code arrival} after a random delay, sometimes twice while chaos is on. Returns false if the link is
     * cut.
     */
    boolean deliver(String from, String to, Runnable arrival) {
        if (isCut(from, to)) {
            return false;
        }
        scheduler.scheduleAfterMillis(delayMillis(), arrival);
        if (chaosCount > 0 && random.nextInt(100) < DUPLICATE_PERCENT) {
            scheduler.scheduleAfterMillis(delayMillis(), arrival);
        }
        return true;
    }

    /** Returns a random delay of one message, in milliseconds. */
    double delayMillis() {
        return chaosCount > 0 && random.nextInt(4) == 0 ? random.nextInt(150) : 0.2 + random.nextDouble() * 2;
    }
}
