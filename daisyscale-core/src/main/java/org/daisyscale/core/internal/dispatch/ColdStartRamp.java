package org.daisyscale.core.internal.dispatch;

/**
 * Limits the orders that a backend server runs concurrently (slow start). The limit is 1 after a cold start, doubles
 * after as many successes as the limit, and returns to 1 when the server sheds an order, loses a connection or
 * restarts. Invariant: {@code 1 <= limit <= slotCount}. Not thread-safe; confined to the core thread.
 */
final class ColdStartRamp {
    private static final int COLD_LIMIT = 1;

    private final int slotCount;
    private int limit = COLD_LIMIT;
    private int successCount;

    ColdStartRamp(int slotCount) {
        this.slotCount = Math.max(COLD_LIMIT, slotCount);
    }

    int limit() {
        return limit;
    }

    void recordSuccess() {
        successCount++;
        if (successCount >= limit) {
            limit = Math.min(slotCount, limit * 2);
            successCount = 0;
        }
    }

    void recordColdStart() {
        limit = COLD_LIMIT;
        successCount = 0;
    }
}
