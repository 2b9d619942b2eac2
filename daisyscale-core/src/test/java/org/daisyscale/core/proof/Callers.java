package org.daisyscale.core.proof;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.UUID;
import org.daisyscale.core.request.RequestMeta;

/**
 * Callers that send a steady load and retry bookings with the same idempotency key through random routers. Not
 * thread-safe; confined to the thread of the run.
 */
final class Callers {
    private static final int KEY_COUNT = 16;
    private static final int BURST_SIZE = 25;
    private static final int MAX_RETRIES = 4;
    private static final int UUID_VERSION = 7;

    private final World world;
    private final SplittableRandom random;
    private final Map<String, Availability> availabilityByKey = new TreeMap<>();
    private long requestCount;

    Callers(World world, SplittableRandom random) {
        this.world = world;
        this.random = random;
    }

    /**
     * Sends a request for each key of both exclusive services every {@code intervalMillis}, and bookings at about the
     * rate of one service's requests.
     */
    void start(long intervalMillis) {
        for (int key = 0; key < KEY_COUNT; key++) {
            sendKeyRequests(ProofEnvironment.CHECKED_SERVICE, "key-" + key, intervalMillis);
            sendKeyRequests(ProofEnvironment.UNCHECKED_SERVICE, "key-" + key, intervalMillis);
        }
        sendBookings(intervalMillis / KEY_COUNT + 1);
    }

    /** Sends many requests for one key at once, so that requests queue, and repeats this at random intervals. */
    void sendBursts() {
        String service = random.nextBoolean() ? ProofEnvironment.CHECKED_SERVICE : ProofEnvironment.UNCHECKED_SERVICE;
        String key = "key-" + random.nextInt(KEY_COUNT);
        for (int i = 0; i < BURST_SIZE; i++) {
            submit(ProofEnvironment.keyedRequest(service, key, "burst"), outcome -> {});
        }
        world.scheduler().scheduleAfterMillis(random.nextInt(1_000), this::sendBursts);
    }

    private void sendKeyRequests(String service, String key, long intervalMillis) {
        requestCount++;
        RequestMeta meta = ProofEnvironment.keyedRequest(service, key, "caller-" + requestCount % 5);
        Availability availability = availabilityByKey.computeIfAbsent(service + "/" + key, name -> new Availability());
        long sentMillis = world.scheduler().nowMillis();
        submit(meta, outcome -> {
            if ("ANSWERED".equals(outcome)) {
                availability.recordServed(sentMillis, world.scheduler().nowMillis());
            }
        });
        world.scheduler().scheduleAfterMillis(intervalMillis, () -> sendKeyRequests(service, key, intervalMillis));
    }

    private void sendBookings(long intervalMillis) {
        requestCount++;
        RequestMeta meta = ProofEnvironment.bookingRequest(newBookingId(), "caller-" + requestCount % 5);
        book(meta, 0);
        if (random.nextInt(20) == 0) {
            world.scheduler().scheduleAfterMillis(random.nextInt(50), () -> book(meta, MAX_RETRIES));
        }
        world.scheduler().scheduleAfterMillis(intervalMillis, () -> sendBookings(intervalMillis));
    }

    private void book(RequestMeta meta, int retryCount) {
        submit(meta, outcome -> {
            boolean isKnownToHaveRun = "ANSWERED".equals(outcome) || "ALREADY_RAN".equals(outcome);
            if (!isKnownToHaveRun && retryCount < MAX_RETRIES) {
                world.scheduler().scheduleAfterMillis(random.nextInt(1_500), () -> book(meta, retryCount + 1));
            }
        });
    }

    private void submit(RequestMeta meta, Submission.OutcomeListener listener) {
        List<SimRouter> routers = world.liveRouters().stream()
                .filter(router -> router.acceptsRequests(world.scheduler().nowMillis()))
                .toList();
        if (routers.isEmpty()) {
            listener.onOutcome(null);
            return;
        }
        SimRouter router = routers.get(random.nextInt(routers.size()));
        router.submit(meta, listener);
        if (random.nextInt(200) == 0) {
            world.scheduler().scheduleAfterMillis(random.nextInt(10), () -> router.disconnectCaller(meta));
        }
    }

    private String newBookingId() {
        long skewMillis = random.nextInt(800) - 400;
        long createdMillis = new DriftingClock(0, 0, skewMillis)
                .moment(world.scheduler().nowNanos())
                .epochMillis();
        long mostSignificantBits = createdMillis << 16 | UUID_VERSION << 12 | random.nextInt(1 << 12);
        return new UUID(mostSignificantBits, random.nextLong() >>> 2 | Long.MIN_VALUE).toString();
    }

    Map<String, Availability> availabilityByKey() {
        return availabilityByKey;
    }

    /** Tracks the longest time between two answers for a key. Not thread-safe; confined to the thread of the run. */
    static final class Availability {
        private long lastServedMillis;
        private long longestGapMillis;

        void reset(long nowMillis) {
            lastServedMillis = nowMillis;
            longestGapMillis = 0;
        }

        /** Records that a request sent at {@code sentMillis} was answered at {@code nowMillis}. */
        void recordServed(long sentMillis, long nowMillis) {
            longestGapMillis = Math.max(longestGapMillis, nowMillis - lastServedMillis);
            lastServedMillis = nowMillis;
        }

        long longestGapMillis(long nowMillis) {
            return Math.max(longestGapMillis, nowMillis - lastServedMillis);
        }
    }
}
