package org.daisyscale.testkit.capacity;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.daisyscale.core.Event;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.request.BackendOutcome;

/** The heap that state takes: a core with much of it against one with little. Not safe for several threads. */
final class HeapSizes {
    private static final FleetSize BASE = new FleetSize(2, 4, 100, 100);
    private static final FleetSize MORE_SLICES = new FleetSize(2, 4, 100, 5_100);
    private static final FleetSize MORE_SERVERS = new FleetSize(2, 4, 1_100, 100);
    private static final int WAITING = 8_000;
    private static final int LEDGER = 50_000;
    private static final int PAUSE_EVERY = 100;
    private static final long DEADLINE_MILLIS = 60_000;
    private static final int COLLECTIONS = 4;

    /** Bytes of heap by the name of what was added. */
    Map<String, Double> measure() {
        Map<String, Double> bytes = new LinkedHashMap<>();
        Held base = held(BASE);
        bytes.put("heap bytes of a small core", (double) base.bytes());
        bytes.put(
                "heap bytes per slice",
                (held(MORE_SLICES).bytes() - base.bytes()) / (double) (MORE_SLICES.sliceCount() - BASE.sliceCount()));
        bytes.put(
                "heap bytes per known server",
                (held(MORE_SERVERS).bytes() - base.bytes())
                        / (double) (MORE_SERVERS.serverCount() - BASE.serverCount()));
        bytes.put("heap bytes per waiting request", growth(this::addWaiting) / WAITING);
        bytes.put("heap bytes per ledger id", growth(this::addLedger) / LEDGER);
        return bytes;
    }

    private static Held held(FleetSize size) {
        Region region = new Region(size);
        long before = usedBytes();
        FocalRouter router = region.warm(region.controller(), (to, message) -> {});
        long after = usedBytes();
        return new Held(router, after - before);
    }

    private double growth(Consumer<FocalRouter> more) {
        Region region = new Region(new FleetSize(1, 1, 4, 16));
        FocalRouter router = region.warm(region.controller(), (to, message) -> {});
        long before = usedBytes();
        more.accept(router);
        long after = usedBytes();
        router.runFor(1);
        return after - before;
    }

    private void addWaiting(FocalRouter router) {
        for (int i = 0; i < WAITING; i++) {
            ask(router, "waiting-%06d".formatted(i), "");
        }
    }

    private void addLedger(FocalRouter router) {
        PermitBook permits = new PermitBook(router);
        for (int i = 0; i < LEDGER; i++) {
            permits.runOne(i);
            if (i % PAUSE_EVERY == 0) {
                router.runFor(1);
            }
        }
    }

    private static void ask(FocalRouter router, String requestId, String idempotencyKey) {
        router.give(new Event.PeerMessageReceived("peer", request(requestId, idempotencyKey)));
    }

    static PeerMessage.PermitRequest request(String requestId, String idempotencyKey) {
        return new PeerMessage.PermitRequest(
                requestId,
                SampleFleet.service(0),
                SampleFleet.KIND,
                0,
                Integer.toUnsignedLong(requestId.hashCode()),
                "caller-1",
                idempotencyKey,
                "",
                1,
                "",
                false,
                DEADLINE_MILLIS);
    }

    private static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private record Held(FocalRouter router, long bytes) {}

    /** Takes one permit after another and gives each back as answered. */
    private record PermitBook(FocalRouter router) {

        void runOne(int index) {
            String key = "0190%04x-0000-7000-8000-%012d".formatted(index >> 16, index);
            ask(router, "request-%06d".formatted(index), key);
            router.takeLastPermittedOrder().ifPresent(this::giveBack);
        }

        private void giveBack(String orderId) {
            router.give(new Event.PeerMessageReceived(
                    "peer",
                    new PeerMessage.PermitReturned(SampleFleet.service(0), 0, orderId, BackendOutcome.ANSWERED, 1)));
        }
    }
}
