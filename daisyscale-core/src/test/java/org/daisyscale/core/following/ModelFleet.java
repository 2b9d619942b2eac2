package org.daisyscale.core.following;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import org.daisyscale.core.platform.CoordinationStore.Changes;

/** The routers of a model, the links between them and their calls to the store, by a virtual clock. Not thread-safe. */
final class ModelFleet {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Close to the largest value, so that the clock overflows during the test. */
    private static final long START_NANOS = Long.MAX_VALUE - 5_000 * NANOS_PER_MILLI;
    /** How long a thread that waits for the store takes to notice that its read was replaced, in milliseconds. */
    private static final int ABANDON_MILLIS = 100;

    private static final long WATCH_POLL_MILLIS = 5;
    private static final long OUTAGE_CALL_MILLIS = ModelFaults.FAILED_CALL_MILLIS;

    private final ModelStore store;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::millis).thenComparingLong(Event::number));
    private final Map<String, ModelRouter> routers = new TreeMap<>();
    private final Map<String, Long> connectionByLink = new HashMap<>();
    private final Set<String> cutLinks = new HashSet<>();
    private final Set<String> lossesByLinkAndKind = new HashSet<>();
    private final Set<String> failedLast = new HashSet<>();
    private final Set<String> pendingReads = new HashSet<>();
    private ModelFaults faults;
    private boolean isOutage;
    private long eventCount;
    private long nowMillis;

    /** The kinds of messages. */
    enum Kind {
        REPORT,
        UPDATE,
        HELD
    }

    private record Event(long millis, long number, Runnable action) {}

    ModelFleet(ModelStore store, ModelFaults faults, SplittableRandom random) {
        this.store = store;
        this.faults = faults;
        this.random = random;
    }

    long nowMillis() {
        return nowMillis;
    }

    long nowNanos() {
        return START_NANOS + nowMillis * NANOS_PER_MILLI;
    }

    Map<String, ModelRouter> routers() {
        return routers;
    }

    void setFaults(ModelFaults newFaults) {
        faults = newFaults;
    }

    void setOutage(boolean isOut) {
        isOutage = isOut;
    }

    void at(long millis, Runnable action) {
        eventCount++;
        events.add(new Event(Math.max(millis, nowMillis), eventCount, action));
    }

    void runUntil(long endMillis) {
        while (!events.isEmpty() && events.peek().millis() < endMillis) {
            Event event = events.remove();
            nowMillis = event.millis();
            event.action().run();
        }
        nowMillis = endMillis;
    }

    private boolean happens(int percent) {
        return random.nextInt(100) < percent;
    }

    private static String link(String one, String other) {
        return one.compareTo(other) < 0 ? one + "-" + other : other + "-" + one;
    }

    /** Cuts the link or connects it again, as another connection. */
    void setCut(String one, String other, boolean isCut) {
        String link = link(one, other);
        if (isCut) {
            cutLinks.add(link);
            routers.get(one).offer(() -> routers.get(one).forget(other));
            routers.get(other).offer(() -> routers.get(other).forget(one));
        } else if (cutLinks.remove(link)) {
            connectionByLink.merge(link, 1L, Long::sum);
        }
    }

    void broadcast(ModelRouter from, ObjLongConsumer<ModelRouter> report) {
        for (ModelRouter other : routers.values()) {
            if (!other.id().equals(from.id())) {
                long connection = connectionByLink.getOrDefault(link(from.id(), other.id()), 0L);
                send(from, other.id(), Kind.REPORT, receiver -> report.accept(receiver, connection));
            }
        }
    }

    /** Sends a message, which may be lost, delayed, delivered twice or overtaken. */
    void send(ModelRouter from, String to, Kind kind, Consumer<ModelRouter> message) {
        ModelRouter receiver = routers.get(to);
        if (cutLinks.contains(link(from.id(), to)) || isLost(from.id() + ">" + to + kind)) {
            return;
        }
        deliver(receiver, message);
        if (happens(5)) {
            deliver(receiver, message);
        }
    }

    private boolean isLost(String linkAndKind) {
        boolean wasLost = lossesByLinkAndKind.remove(linkAndKind);
        boolean isLost = happens(faults.messageLossPercent()) && !(wasLost && faults.isEverySecondDelivered());
        if (isLost) {
            lossesByLinkAndKind.add(linkAndKind);
        }
        return isLost;
    }

    private void deliver(ModelRouter receiver, Consumer<ModelRouter> message) {
        at(
                nowMillis + 1 + random.nextLong(faults.maxMessageMillis()),
                () -> receiver.offer(() -> message.accept(receiver)));
    }

    /** Starts a read of {@code router}, instead of a pending one. */
    void call(ModelRouter router, long number, ReadRequest request) {
        boolean isCut = faults.areFollowersCut() && !router.isController();
        boolean isFailing = isOutage || isCut || isFailing(router);
        boolean isReplacing = !pendingReads.add(router.id());
        long startMillis = nowMillis + 1 + (isReplacing ? random.nextInt(ABANDON_MILLIS) : 0);
        if (isFailing) {
            boolean isNeverAnswered = request.kind() == ReadRequest.Kind.WATCH && happens(50);
            if (!isNeverAnswered || isOutage) {
                long failedMillis = startMillis + random.nextLong(OUTAGE_CALL_MILLIS - ABANDON_MILLIS);
                at(failedMillis, () -> end(router, number, router::handleFailure));
            }
        } else if (request.kind() == ReadRequest.Kind.LIST) {
            at(startMillis, () -> list(router, number));
        } else {
            at(startMillis, () -> watch(router, number, request, nowMillis + request.waitMillis()));
        }
    }

    private boolean isFailing(ModelRouter router) {
        boolean hasFailed = failedLast.remove(router.id());
        boolean isFailing = happens(faults.callFailurePercent()) && !(hasFailed && faults.isEverySecondAnswered());
        if (isFailing) {
            failedLast.add(router.id());
        }
        return isFailing;
    }

    private void end(ModelRouter router, long number, Runnable end) {
        router.put(() -> {
            if (!router.isReplaced(number)) {
                pendingReads.remove(router.id());
                end.run();
            }
        });
    }

    private void list(ModelRouter router, long number) {
        long listedMillis = nowMillis - random.nextLong(faults.maxStaleMillis() + 1);
        long pageMillis = listedMillis + random.nextInt(20);
        at(Math.max(nowMillis, pageMillis) + 1 + random.nextLong(faults.maxCallMillis()), () -> {
            var listing = store.list(listedMillis, pageMillis);
            end(router, number, () -> router.handleListing(listing));
        });
    }

    private void watch(ModelRouter router, long number, ReadRequest request, long endMillis) {
        if (router.isReplaced(number)) {
            return;
        }
        Optional<Changes> changes = store.changesAfter(request.afterRevision());
        boolean isEnded = changes.isEmpty() || !changes.get().changes().isEmpty() || nowMillis >= endMillis;
        if (isEnded) {
            at(
                    nowMillis + 1 + random.nextLong(faults.maxCallMillis()),
                    () -> end(router, number, () -> router.handleWatch(changes)));
        } else {
            at(nowMillis + WATCH_POLL_MILLIS, () -> watch(router, number, request, endMillis));
        }
    }
}
