package org.daisyscale.core.proof;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.ownership.GrantedSlice;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.ownership.SliceAssignment;
import org.daisyscale.core.platform.WriteOutcome;

/**
 * Checks the promises from outside the core, by what happens at backend servers, callers and the platform's service.
 * Not thread-safe; confined to the thread of the run.
 */
final class Observer {
    private final VirtualScheduler scheduler;
    private final List<Violation> violations = new ArrayList<>();
    private final Map<String, Order> unstartedOrders = new TreeMap<>();
    private final Map<String, List<String>> ordersByIdempotencyKey = new HashMap<>();
    private final Map<String, String> serverBySubmission = new HashMap<>();
    private final Map<String, CoreErrorCode> notRunBySubmission = new HashMap<>();
    private final Map<String, Long> revisionByRouter = new HashMap<>();
    private final Map<FaultKind, Integer> faultCounts = new TreeMap<>();
    private final Map<String, Integer> outcomeCounts = new TreeMap<>();
    private OwnershipMap map = OwnershipMap.empty();
    private long operationCount;

    Observer(VirtualScheduler scheduler) {
        this.scheduler = scheduler;
    }

    void recordViolation(int promise, String detail) {
        violations.add(new Violation(promise, scheduler.nowMillis(), detail));
    }

    void recordFault(FaultKind kind) {
        faultCounts.merge(kind, 1, Integer::sum);
    }

    /**
     * Checks promise 1 for servers that check orders: no two of a service hold the same hash. Called at each accepted
     * grant, because only a grant adds slices to a server.
     */
    void checkGrant(FakeServer server, Iterable<FakeServer> servers) {
        for (FakeServer other : servers) {
            if (other != server && other.service().equals(server.service())) {
                checkDisjoint(server, other);
            }
        }
    }

    private void checkDisjoint(FakeServer server, FakeServer other) {
        for (GrantedSlice slice : server.heldSlices()) {
            for (GrantedSlice otherSlice : other.heldSlices()) {
                if (slice.startHash() < otherSlice.endHash() && otherSlice.startHash() < slice.endHash()) {
                    recordViolation(1, "%s takes %s while %s holds it".formatted(server.id(), slice, other.id()));
                }
            }
        }
    }

    /** Records that a router sent {@code order}. */
    void recordSent(Order order) {
        operationCount++;
        unstartedOrders.put(order.permit().orderId(), order);
    }

    /** Records that {@code order} can't start any more. */
    void recordDropped(Order order) {
        unstartedOrders.remove(order.permit().orderId());
    }

    void recordStarted(Order order, FakeServer server) {
        unstartedOrders.remove(order.permit().orderId());
        if (!server.checksOrders() && order.permit().epoch() > 0) {
            unstartedOrders.values().stream()
                    .filter(older -> older.mayStartConcurrentlyWith(order))
                    .forEach(older -> recordViolation(
                            1, "%s starts at %s while %s may start".formatted(order, server.id(), older)));
        }
        serverBySubmission.put(order.submissionId(), server.id());
        if (notRunBySubmission.containsKey(order.submissionId())) {
            recordViolation(6, "%s runs after %s".formatted(order, notRunBySubmission.get(order.submissionId())));
        }
        if (!order.meta().idempotencyKey().isEmpty()) {
            List<String> orders =
                    ordersByIdempotencyKey.computeIfAbsent(order.meta().idempotencyKey(), id -> new ArrayList<>());
            orders.add(order.toString());
            if (orders.size() > 1) {
                recordViolation(7, "runs twice: " + orders);
            }
        }
    }

    void recordRejected(String submissionId, CoreErrorCode code, boolean reportsNotRun) {
        outcomeCounts.merge(code.name(), 1, Integer::sum);
        if (reportsNotRun) {
            notRunBySubmission.put(submissionId, code);
            if (serverBySubmission.containsKey(submissionId)) {
                recordViolation(
                        6,
                        "%s refused with %s ran at %s"
                                .formatted(submissionId, code, serverBySubmission.get(submissionId)));
            }
        }
    }

    void recordAnswered(String submissionId, Order order) {
        outcomeCounts.merge("ANSWERED", 1, Integer::sum);
        if (!order.submissionId().equals(submissionId)) {
            recordViolation(5, "%s got the answer to %s".formatted(submissionId, order));
        }
    }

    /** Checks promise 2 for a map that the platform's service accepted. */
    void checkMapWrite(OwnershipMap next) {
        if (next.version() != map.version() + 1 || next.term() < map.term()) {
            recordViolation(
                    2,
                    "version %d term %d after %d/%d".formatted(next.version(), next.term(), map.version(), map.term()));
        }
        for (SliceAssignment before : map.slices()) {
            next.slices().stream()
                    .filter(after -> after.service().equals(before.service()) && after.contains(before.startHash()))
                    .forEach(after -> checkTransition(before, after));
        }
        map = next;
    }

    private void checkTransition(SliceAssignment before, SliceAssignment after) {
        boolean isSame = after.server().equals(before.server()) && after.epoch() == before.epoch();
        boolean keepsPredecessor =
                after.predecessor().equals(before.isSettled() ? before.server() : before.predecessor());
        boolean isMove = after.epoch() > before.epoch()
                && (keepsPredecessor || before.server().isEmpty());
        if (!isSame && !isMove && !after.predecessor().equals(before.server())) {
            recordViolation(2, "%s became %s".formatted(before, after));
        }
    }

    /** Checks promise 10: the revision in force at a router only rises. */
    void recordInForce(String router, long revision) {
        long before = revisionByRouter.getOrDefault(router, 0L);
        if (revision <= before) {
            recordViolation(10, "%s went from revision %d to %d".formatted(router, before, revision));
        }
        revisionByRouter.put(router, revision);
    }

    long revisionInForceAt(String router) {
        return revisionByRouter.getOrDefault(router, 0L);
    }

    /** Records the actual outcome of a write whose writer received {@link WriteOutcome#UNKNOWN}. */
    void recordLateWrite(WriteOutcome outcome) {
        outcomeCounts.merge("LATE_WRITE_" + outcome, 1, Integer::sum);
    }

    /** Clears the state that only a running world needs, so that many finished runs fit in memory. */
    void releaseState() {
        unstartedOrders.clear();
        ordersByIdempotencyKey.clear();
        serverBySubmission.clear();
        notRunBySubmission.clear();
        revisionByRouter.clear();
        map = OwnershipMap.empty();
    }

    List<Violation> violations() {
        return violations;
    }

    Map<FaultKind, Integer> faultCounts() {
        return faultCounts;
    }

    Map<String, Integer> outcomeCounts() {
        return outcomeCounts;
    }

    long operationCount() {
        return operationCount;
    }

    /**
     * A broken promise. Immutable.
     *
     * @param promise the promise's number
     * @param atMillis the time of the observation, in milliseconds of true time
     * @param detail what was observed
     */
    record Violation(int promise, long atMillis, String detail) {}
}
