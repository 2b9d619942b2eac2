package org.daisyscale.core.internal.dispatch;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.internal.CoreComponent;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.TimerQueue;
import org.daisyscale.core.internal.control.ControllerLink;
import org.daisyscale.core.internal.ownership.RangeKey;
import org.daisyscale.core.ownership.RangeAssignment;
import org.daisyscale.core.peer.PeerMessage;

/**
 * Serves the dispatch ranges of this router. A range is opened when the map assigns it to this router as settled, and
 * closed when a newer map reassigns it. No permit is issued while this router has no renewal authority. Not
 * thread-safe; confined to the core thread.
 */
public final class Dispatcher implements CoreComponent {
    private static final long HOUSEKEEPING_INTERVAL_MILLIS = 20;
    private static final long REPORT_INTERVAL_MILLIS = 100;
    private static final long CLOCK_MARGIN_MILLIS = 1_000;

    private final String routerId;
    private final DispatchContext context;
    private final ControllerLink controllerLink;
    private final Map<RangeKey, RangeDispatcher> openRanges = new TreeMap<>();
    private final Map<RangeKey, HandoverBuffer> handoverBuffers = new TreeMap<>();
    /** The ledgers that were handed over in the newest map, kept because a message is lost with its connection. */
    private final Map<RangeKey, PeerMessage.LedgerHandover> sentHandovers = new TreeMap<>();

    private final StandInRanges standInRanges;

    /** Creates a dispatcher without ranges and schedules its housekeeping and its reports to the controller. */
    public Dispatcher(String routerId, DispatchContext context, ControllerLink controllerLink, TimerQueue timers) {
        this.routerId = routerId;
        this.context = context;
        this.controllerLink = controllerLink;
        this.standInRanges = new StandInRanges(context, assignment -> create(assignment, new IdLedger(Long.MAX_VALUE)));
        timers.scheduleRepeating(HOUSEKEEPING_INTERVAL_MILLIS, this::runHousekeeping);
        timers.scheduleRepeating(REPORT_INTERVAL_MILLIS, this::reportToController);
    }

    @Override
    public void handle(Event event, Moment now, Outbox out) {
        if (event instanceof Event.PeerMessageReceived received) {
            handleMessage(received, now, out);
        } else if (event instanceof Event.PeerDisconnected disconnected) {
            allRanges().forEach(range -> range.dropRequestsOf(disconnected.peer()));
        } else if (event instanceof Event.PeerConnected connected) {
            repeatHandovers(connected.peer(), out);
        }
        if (event instanceof Event.MapRead || event instanceof Event.MapWriteEnded) {
            applyMap(now, out);
        }
    }

    private void handleMessage(Event.PeerMessageReceived received, Moment now, Outbox out) {
        PeerMessage message = received.message();
        if (message instanceof PeerMessage.PermitRequest request) {
            handlePermitRequest(received.from(), request, now, out);
        } else if (message instanceof PeerMessage.PermitReturned returned) {
            handlePermitReturned(returned, now, out);
        } else if (message instanceof PeerMessage.LedgerHandover handover) {
            handleLedgerHandover(handover, now);
        } else if (message instanceof PeerMessage.InFlightReport inFlight) {
            handleInFlightReport(received.from(), inFlight, now);
        } else if (message instanceof PeerMessage.PermitCancelled cancelled) {
            allRanges().forEach(range -> range.cancel(received.from(), cancelled.requestId()));
        } else if (message instanceof PeerMessage.MapUpdate) {
            applyMap(now, out);
        }
    }

    private Stream<RangeDispatcher> allRanges() {
        return Stream.concat(openRanges.values().stream(), standInRanges.all().stream());
    }

    private void handlePermitRequest(String router, PeerMessage.PermitRequest request, Moment now, Outbox out) {
        RangeKey key = new RangeKey(request.service(), request.range());
        Optional<RangeDispatcher> range = openRanges.containsKey(key)
                ? Optional.of(openRanges.get(key))
                : standInRanges.rangeFor(request, now, out);
        if (range.isPresent() && context.duties().mayDispatch(key, now)) {
            range.get().requestPermit(router, request, now, out);
        } else {
            out.send(router, new PeerMessage.PermitRefused(request.requestId(), CoreErrorCode.NO_OWNER.code(), true));
        }
    }

    private void handlePermitReturned(PeerMessage.PermitReturned returned, Moment now, Outbox out) {
        RangeKey key = new RangeKey(returned.service(), returned.range());
        standInRanges.find(key).ifPresent(range -> range.handleReturn(returned, now, out));
        RangeDispatcher range = openRanges.get(key);
        if (range != null) {
            range.handleReturn(returned, now, out);
        } else {
            handoverBuffer(key).add(returned);
        }
    }

    private void handleLedgerHandover(PeerMessage.LedgerHandover handover, Moment now) {
        RangeKey key = new RangeKey(handover.service(), handover.range());
        RangeDispatcher range = openRanges.get(key);
        if (range == null) {
            handoverBuffer(key).add(handover);
        } else if (range.epoch() == handover.epoch()) {
            range.ledger().merge(handover, now);
        }
    }

    private void handleInFlightReport(String router, PeerMessage.InFlightReport inFlight, Moment now) {
        RangeKey key = new RangeKey(inFlight.service(), inFlight.range());
        RangeDispatcher range = openRanges.get(key);
        if (range == null) {
            handoverBuffer(key).add(router, inFlight, now);
        } else if (range.epoch() == inFlight.epoch()) {
            inFlight.orders().forEach(order -> range.takeOver(router, order, now));
        }
    }

    private HandoverBuffer handoverBuffer(RangeKey key) {
        return handoverBuffers.computeIfAbsent(key, created -> new HandoverBuffer());
    }

    private void applyMap(Moment now, Outbox out) {
        for (RangeAssignment assignment : context.maps().map().ranges()) {
            RangeKey key = RangeKey.of(assignment);
            sentHandovers.computeIfPresent(key, (sentKey, sent) -> sent.epoch() == assignment.epoch() ? sent : null);
            RangeDispatcher range = openRanges.get(key);
            boolean isAssigned = context.duties().isAssigned(key);
            if (range != null && (!isAssigned || range.epoch() != assignment.epoch())) {
                close(assignment, range, out);
            }
            if (isAssigned && !openRanges.containsKey(key)) {
                openRange(assignment, now, out);
            }
        }
    }

    private void openRange(RangeAssignment assignment, Moment now, Outbox out) {
        long knownSinceMillis = assignment.isFirst() ? 0 : now.epochMillis() + CLOCK_MARGIN_MILLIS;
        RangeKey key = RangeKey.of(assignment);
        IdLedger ledger = new IdLedger(knownSinceMillis);
        RangeDispatcher range = create(assignment, ledger);
        range.runHousekeeping(now, out);
        openRanges.put(key, range);
        applyHandoverBuffer(key, range, now);
        out.report("range-opened", describe(key, assignment.epoch()));
    }

    private RangeDispatcher create(RangeAssignment assignment, IdLedger ledger) {
        ServerChooser chooser = ServerChoosers.create(context.settings().policy(), assignment.epoch());
        RangeKey key = RangeKey.of(assignment);
        return new RangeDispatcher(routerId, key, assignment.epoch(), context, chooser, ledger);
    }

    private void applyHandoverBuffer(RangeKey key, RangeDispatcher range, Moment now) {
        HandoverBuffer buffer = handoverBuffers.remove(key);
        if (buffer != null) {
            buffer.handover()
                    .filter(handover -> handover.epoch() == range.epoch())
                    .ifPresent(handover -> range.ledger().merge(handover, now));
            buffer.applyTo(range, now);
        }
    }

    private static String describe(RangeKey key, long epoch) {
        return "service=%s range=%d epoch=%d".formatted(key.service(), key.range(), epoch);
    }

    private void close(RangeAssignment next, RangeDispatcher range, Outbox out) {
        RangeKey key = RangeKey.of(next);
        range.rejectAll(out);
        openRanges.remove(key);
        if (next.predecessor().equals(routerId)) {
            PeerMessage.LedgerHandover handover = range.ledger().handover(key, next.epoch());
            sentHandovers.put(key, handover);
            out.send(next.router(), handover);
        }
        out.report("range-closed", describe(key, range.epoch()));
    }

    /** Sends the ledgers again that {@code peer} may have missed while it was not connected. */
    private void repeatHandovers(String peer, Outbox out) {
        for (RangeAssignment assignment : context.maps().map().ranges()) {
            PeerMessage.LedgerHandover sent = sentHandovers.get(RangeKey.of(assignment));
            if (sent != null && assignment.router().equals(peer)) {
                out.send(peer, sent);
            }
        }
    }

    private void runHousekeeping(Moment now, Outbox out) {
        openRanges.forEach((key, range) -> {
            if (context.duties().mayDispatch(key, now)) {
                range.runHousekeeping(now, out);
            }
        });
        standInRanges.runHousekeeping(now, out);
        confirmReleasedRanges(out);
    }

    private void confirmReleasedRanges(Outbox out) {
        for (RangeAssignment assignment : context.maps().map().ranges()) {
            boolean isReleased =
                    assignment.predecessor().equals(routerId) && !openRanges.containsKey(RangeKey.of(assignment));
            if (isReleased) {
                controllerLink.send(
                        new PeerMessage.RangeReleased(assignment.service(), assignment.range(), assignment.epoch()),
                        out);
            }
        }
    }

    private void reportToController(Moment now, Outbox out) {
        for (RangeDispatcher range : openRanges.values()) {
            range.report(controllerLink.controller(), now).ifPresent(report -> controllerLink.send(report, out));
        }
    }

    /** Returns the number of orders in flight at {@code server} under permits of this router. */
    public int runningAt(String server) {
        return allRanges().mapToInt(range -> range.runningAt(server)).sum();
    }

    /** Returns whether this router serves any dispatch range; stand-in ranges don't count. */
    public boolean hasOpenRanges() {
        return !openRanges.isEmpty();
    }
}
