package org.daisyscale.testkit.capacity;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.daisyscale.core.Event;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.ownership.RangeAssignment;
import org.daisyscale.core.peer.PeerMessage;

/**
 * The settled state of a region, and what one router of it sends and gets. Each router is a real core of its own
 * against the same fakes. Not safe for several threads.
 */
final class Region {
    private static final long SETTLE_MILLIS = 10_000;
    private static final long WARM_MILLIS = 1_000;
    private static final long SECOND_MILLIS = 1_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int MEASURED_SECONDS = 2;
    private static final int MAX_SAMPLED_PEERS = 6;
    private static final BiConsumer<String, PeerMessage> UNSEEN = (to, message) -> {};

    private final SampleFleet fleet;
    private final String controller;
    private final OwnershipMap map;
    private final int writeCount;

    Region(FleetSize size) {
        this.fleet = new SampleFleet(size);
        this.controller = SampleFleet.routerId(0);
        FocalRouter first = new FocalRouter(controller, controller, fleet, OwnershipMap.empty(), UNSEEN);
        first.runFor(SETTLE_MILLIS);
        this.map = spread(first.map());
        this.writeCount = first.calls().calls().getOrDefault("write", 0);
    }

    /** The map with its ranges dealt out in turn, since the first router of a region keeps all that it was given. */
    private OwnershipMap spread(OwnershipMap settled) {
        List<RangeAssignment> ranges = IntStream.range(0, settled.ranges().size())
                .mapToObj(index -> dealt(settled.ranges().get(index), index))
                .toList();
        return new OwnershipMap(
                settled.version(), settled.term(), settled.writeId(), settled.seats(), ranges, settled.slices());
    }

    private RangeAssignment dealt(RangeAssignment range, int index) {
        String router = SampleFleet.routerId(index % fleet.size().routerCount());
        return new RangeAssignment(range.service(), range.range(), router, range.epoch(), range.firstEpoch(), "");
    }

    SampleFleet fleet() {
        return fleet;
    }

    OwnershipMap map() {
        return map;
    }

    int settlingWrites() {
        return writeCount;
    }

    String controller() {
        return controller;
    }

    /** A seat that is not the controller, or the controller when there is no other. */
    String seat() {
        List<String> seats = map.seats().current();
        return seats.get(seats.size() / 2);
    }

    /** A router that is no seat and not the controller, as far as there is one. */
    String plain() {
        List<String> plain = fleet.routerIds().stream()
                .filter(router -> !map.seats().current().contains(router) && !router.equals(controller))
                .toList();
        return plain.isEmpty() ? seat() : plain.get(plain.size() / 2);
    }

    /** A router of this region that has run for a while. */
    FocalRouter warm(String id, BiConsumer<String, PeerMessage> sent) {
        FocalRouter router = new FocalRouter(id, controller, fleet, map, sent);
        router.runFor(WARM_MILLIS);
        return router;
    }

    /** What {@code id} spends in a second on control while no request comes. */
    ControlCost cost(String id) {
        Map<String, Double> pingsFrom = new TreeMap<>();
        Traffic got = new Traffic();
        double gotBytes = 0;
        for (Sample peer : sampledPeers(id)) {
            Traffic toFocal = trafficBetween(peer.router(), id);
            gotBytes += peer.weight() * toFocal.totalBytes() / MEASURED_SECONDS;
            pingsFrom.put(peer.router(), peer.weight() * toFocal.messages(PeerMessage.Ping.class) / MEASURED_SECONDS);
        }
        Traffic sentTraffic = new Traffic();
        FocalRouter focal = warm(id, (to, message) -> sentTraffic.note(message));
        sendPings(focal, pingsFrom, WARM_MILLIS / SECOND_MILLIS);
        sentTraffic.clear();
        focal.calls().clear();
        focal.times().clear();
        sendPings(focal, pingsFrom, MEASURED_SECONDS);
        addPongs(got, sentTraffic.messages(PeerMessage.Ping.class));
        return new ControlCost(
                sentTraffic.totalBytes() / (double) MEASURED_SECONDS,
                gotBytes + got.totalBytes() / (double) MEASURED_SECONDS,
                sentTraffic.totalMessages() / (double) MEASURED_SECONDS,
                focal.times().totalMicros() / SECOND_MILLIS / MEASURED_SECONDS,
                perSecond(sentTraffic),
                Map.copyOf(focal.calls().calls()));
    }

    private static Map<String, Double> perSecond(Traffic traffic) {
        Map<String, Double> bytes = new TreeMap<>();
        traffic.byType().forEach((type, count) -> bytes.put(type, count.bytes() / (double) MEASURED_SECONDS));
        return bytes;
    }

    private void addPongs(Traffic got, long count) {
        PeerMessage pong = new PeerMessage.Pong(NANOS_PER_SECOND, map.version(), 1, false);
        for (long i = 0; i < count; i++) {
            got.note(pong);
        }
    }

    private Traffic trafficBetween(String from, String to) {
        Traffic traffic = new Traffic();
        FocalRouter peer = warm(from, (target, message) -> {
            if (target.equals(to)) {
                traffic.note(message);
            }
        });
        traffic.clear();
        peer.runFor(MEASURED_SECONDS * SECOND_MILLIS);
        return traffic;
    }

    private void sendPings(FocalRouter focal, Map<String, Double> pingsFrom, long seconds) {
        for (long second = 0; second < seconds; second++) {
            pingsFrom.forEach((peer, count) -> schedulePings(focal, peer, Math.round(count)));
            focal.runFor(SECOND_MILLIS);
        }
    }

    private void schedulePings(FocalRouter focal, String peer, long count) {
        for (long i = 0; i < count; i++) {
            long afterNanos = NANOS_PER_SECOND * i / count;
            PeerMessage ping = new PeerMessage.Ping(focal.nowNanos() + afterNanos, map.version(), 1);
            focal.giveLater(afterNanos, new Event.PeerMessageReceived(peer, ping));
        }
    }

    /** The seats, the controller, the dispatchers and an even choice of the others, weighted for those left out. */
    private List<Sample> sampledPeers(String focal) {
        List<String> special = fleet.routerIds().stream()
                .filter(router -> !router.equals(focal))
                .filter(this::isSpecial)
                .toList();
        List<String> others = fleet.routerIds().stream()
                .filter(router -> !router.equals(focal) && !isSpecial(router))
                .toList();
        int step = Math.max(1, (others.size() + MAX_SAMPLED_PEERS - 1) / MAX_SAMPLED_PEERS);
        List<String> chosen = IntStream.range(0, others.size())
                .filter(index -> index % step == step / 2)
                .mapToObj(others::get)
                .toList();
        double weight = chosen.isEmpty() ? 0 : others.size() / (double) chosen.size();
        return Stream.concat(
                        special.stream().map(router -> new Sample(router, 1)),
                        chosen.stream().map(router -> new Sample(router, weight)))
                .toList();
    }

    private boolean isSpecial(String router) {
        boolean isDispatcher =
                map.ranges().stream().anyMatch(range -> range.router().equals(router));
        return isDispatcher
                || router.equals(controller)
                || map.seats().current().contains(router);
    }

    private record Sample(String router, double weight) {}
}
