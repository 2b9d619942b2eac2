package org.daisyscale.core.proof;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.daisyscale.core.membership.ServerStatus;
import org.daisyscale.core.ownership.Grant;
import org.daisyscale.core.ownership.GrantedSlice;
import org.daisyscale.core.request.BackendOutcome;

/**
 * A backend server that follows docs/BACKEND-CONTRACT.md. While it is frozen, its clock advances and inputs wait in its
 * socket buffer. A server that doesn't check orders still rejects those past their deadlines. Not thread-safe; confined
 * to the thread of the run.
 */
final class FakeServer {
    static final int SLOTS = 3;
    private static final long COLD_START_SUCCESSES = SLOTS;

    private final VirtualScheduler scheduler;
    private final Observer observer;
    private final SplittableRandom random;
    private final String id;
    private final String service;
    private final String dataCentre;
    private final boolean checksOrders;
    private final DriftingClock clock;
    private final List<Runnable> bufferedInputs = new ArrayList<>();
    private final Set<String> runningOrderIds = new TreeSet<>();
    private int incarnationNumber = 1;
    private int successCount;
    private boolean isUp = true;
    private boolean isFrozen;
    private boolean isDraining;
    private long noWorkAfterMillis = Long.MAX_VALUE;
    private int noWorkPromise;
    private Grant grant;
    private long highestMapVersion;

    FakeServer(
            VirtualScheduler scheduler,
            Observer observer,
            SplittableRandom random,
            String id,
            String service,
            String dataCentre,
            boolean checksOrders) {
        this.scheduler = scheduler;
        this.observer = observer;
        this.random = random;
        this.id = id;
        this.service = service;
        this.dataCentre = dataCentre;
        this.checksOrders = checksOrders;
        this.clock = World.randomClock(random);
    }

    String id() {
        return id;
    }

    String service() {
        return service;
    }

    String dataCentre() {
        return dataCentre;
    }

    boolean checksOrders() {
        return checksOrders;
    }

    boolean isUp() {
        return isUp;
    }

    int incarnationNumber() {
        return incarnationNumber;
    }

    boolean isDraining() {
        return isDraining;
    }

    long clockMillis() {
        return clock.millis(scheduler.nowNanos());
    }

    private String incarnation() {
        return id + "-life-" + incarnationNumber;
    }

    void crash() {
        isUp = false;
        incarnationNumber++;
        runningOrderIds.clear();
        bufferedInputs.clear();
        grant = null;
        highestMapVersion = 0;
        successCount = 0;
    }

    void restart() {
        isUp = true;
        isFrozen = false;
        isDraining = false;
    }

    void freeze() {
        isFrozen = true;
    }

    void thaw() {
        if (isFrozen) {
            isFrozen = false;
            List<Runnable> delayed = List.copyOf(bufferedInputs);
            bufferedInputs.clear();
            delayed.forEach(Runnable::run);
        }
    }

    void setDraining(boolean shouldDrain) {
        isDraining = shouldDrain;
    }

    /**
     * Sets whether the server may start orders. If not, an order that starts after {@code millis} of true time breaks
     * {@code promise}.
     */
    void setWorkExpected(boolean isExpected, long millis, int promise) {
        noWorkAfterMillis = isExpected ? Long.MAX_VALUE : Math.min(noWorkAfterMillis, millis);
        noWorkPromise = promise;
    }

    /**
     * Runs {@code input} now if the server is up, or at the thaw if it is frozen; drops it if the server is down or
     * crashes first.
     */
    void receive(Runnable input) {
        if (isUp && isFrozen) {
            bufferedInputs.add(input);
        } else if (isUp) {
            input.run();
        }
    }

    ServerStatus status() {
        return new ServerStatus(
                incarnation(),
                clockMillis(),
                isDraining,
                runningOrderIds.size(),
                runningOrderIds.size() / (double) SLOTS,
                highestMapVersion);
    }

    boolean acceptGrant(Grant offered) {
        if (!offered.incarnation().equals(incarnation()) || offered.mapVersion() < highestMapVersion) {
            return false;
        }
        grant = offered;
        highestMapVersion = offered.mapVersion();
        return true;
    }

    long highestMapVersion() {
        return highestMapVersion;
    }

    List<GrantedSlice> heldSlices() {
        return grant != null && clockMillis() < grant.expiresAtServerMillis() ? grant.slices() : List.of();
    }

    void handleOrder(Order order, Consumer<BackendOutcome> onAnswer) {
        BackendOutcome rejection = rejectionOutcome(order);
        if (rejection != null) {
            observer.recordDropped(order);
            onAnswer.accept(rejection);
            return;
        }
        observer.recordStarted(order, this);
        runningOrderIds.add(order.permit().orderId());
        checkPromisesAtStart(order);
        int incarnationAtStart = incarnationNumber;
        scheduler.scheduleAfterMillis(
                1 + random.nextInt(20), () -> receive(() -> finish(order, incarnationAtStart, onAnswer)));
    }

    private BackendOutcome rejectionOutcome(Order order) {
        if (clockMillis() >= order.permit().deadlineServerMillis()) {
            return BackendOutcome.EXPIRED;
        }
        if (isDraining) {
            return BackendOutcome.DRAINING;
        }
        if (checksOrders
                && order.permit().epoch() > 0
                && !holdsSlice(order.permit().keyHash(), order.permit().epoch())) {
            return BackendOutcome.NOT_OWNER;
        }
        return runningOrderIds.size() >= SLOTS ? BackendOutcome.SHED : null;
    }

    private boolean holdsSlice(long hash, long epoch) {
        return heldSlices().stream()
                .anyMatch(slice -> slice.startHash() <= hash && hash < slice.endHash() && slice.epoch() == epoch);
    }

    private void checkPromisesAtStart(Order order) {
        if (runningOrderIds.size() > Math.min(COLD_START_SUCCESSES, 1 + successCount)) {
            observer.recordViolation(
                    3, "%s cold with %d successes runs %d".formatted(id, successCount, runningOrderIds.size()));
        }
        if (scheduler.nowMillis() > noWorkAfterMillis) {
            observer.recordViolation(
                    noWorkPromise, "%s starts at %s, no work after %d".formatted(order, id, noWorkAfterMillis));
        }
    }

    private void finish(Order order, int incarnationAtStart, Consumer<BackendOutcome> onAnswer) {
        if (incarnationAtStart == incarnationNumber
                && runningOrderIds.remove(order.permit().orderId())) {
            successCount++;
            onAnswer.accept(BackendOutcome.ANSWERED);
        }
    }
}
