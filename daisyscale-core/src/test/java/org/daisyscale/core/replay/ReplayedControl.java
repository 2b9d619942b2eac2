package org.daisyscale.core.replay;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.daisyscale.core.keys.KeyAction;
import org.daisyscale.core.keys.KeyController;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.keys.KeySettings;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.ServingEvent;

/**
 * The control of the keys in simulated time: the controller that holds the lease, the store with its map, and the calls
 * to servers. Not thread-safe.
 */
final class ReplayedControl {
    private static final double NETWORK_DELAY_MILLIS = 1.5;
    private static final double STORE_DELAY_MILLIS = 6;
    private static final long LEASE_NANOS = 1_300_000_000L;
    private static final double LEASE_PERIOD_MILLIS = 400;
    private static final double POLL_PERIOD_MILLIS = 50;

    private final Timeline time;
    private final ReplayResult result;
    private final GrantNetwork grants;
    private final Consumer<KeyMap> routers;
    private final Map<String, ReplayedServer> serverByHost;
    private KeyController controller = newController();
    private KeyMap stored;
    private long revision;
    private final ProcessorTime processorTime = new ProcessorTime();

    /** Creates a control whose maps go to {@code routers}. */
    ReplayedControl(
            Timeline time,
            UniformRandomProvider random,
            Map<String, ReplayedServer> serverByHost,
            ReplayResult result,
            Consumer<KeyMap> routers) {
        this.time = time;
        this.result = result;
        this.routers = routers;
        this.serverByHost = serverByHost;
        this.grants = new GrantNetwork(time, random, serverByHost, result, this::handle);
    }

    private static KeyController newController() {
        return KeyController.create(new KeySettings(10_000));
    }

    GrantNetwork grants() {
        return grants;
    }

    /** Returns the map in the store; null for none. */
    KeyMap stored() {
        return stored;
    }

    /** Returns the processor time of the controllers. */
    ProcessorTime processorTime() {
        return processorTime;
    }

    /** Returns the fraction of the keys that neither their owner nor a predecessor in the stored map holds. */
    double unheldFraction() {
        int unheld = stored.assignments().stream()
                .filter(assignment -> Stream.concat(Stream.of(assignment.owner()), assignment.predecessors().stream())
                        .noneMatch(owner -> serverByHost.get(owner.host()).holdsKey(assignment.firstKey())))
                .mapToInt(KeyAssignment::keyCount)
                .sum();
        return unheld / (double) KeyMap.KEY_COUNT;
    }

    /** Gives the controller the lease and lets time pass for it. */
    void start() {
        renewLease();
        poll();
    }

    private void renewLease() {
        handle(new KeyEvent.LeaseRenewed(time.nowNanos() + LEASE_NANOS));
        time.after(LEASE_PERIOD_MILLIS, this::renewLease);
    }

    private void poll() {
        handle(new KeyEvent.TimePassed());
        time.after(POLL_PERIOD_MILLIS, this::poll);
    }

    /**
     * Replaces the controller by one that knows the stored map and {@code known} only and hears of the evacuations
     * later; it gets the lease at the next renewal.
     */
    void replaceController(List<ServingEvent> known, Supplier<ServingEvent> evacuations, double delayMillis) {
        grants.dropOutstandingAnswers();
        KeyController next = newController();
        controller = next;
        known.forEach(event -> handle(new KeyEvent.FleetChanged(event)));
        time.after(delayMillis, () -> {
            if (controller == next) {
                handle(new KeyEvent.FleetChanged(evacuations.get()));
            }
        });
    }

    void handle(KeyEvent event) {
        processorTime.measure(() -> controller.handle(event, time.nowNanos())).forEach(this::run);
    }

    private void run(KeyAction action) {
        if (action instanceof KeyAction.WriteMap write) {
            KeyController writer = controller;
            time.after(STORE_DELAY_MILLIS, () -> completeWrite(write, writer));
        } else if (action instanceof KeyAction.ReadMap read) {
            time.after(
                    STORE_DELAY_MILLIS,
                    () -> handle(
                            stored == null
                                    ? new KeyEvent.MapAbsent(read.service())
                                    : new KeyEvent.MapRead(stored, revision)));
        } else if (action instanceof KeyAction.PublishMap publish) {
            time.after(NETWORK_DELAY_MILLIS, () -> routers.accept(publish.map()));
        } else if (action instanceof KeyAction.SendGrant grant) {
            grants.send(grant);
        } else if (action instanceof KeyAction.SendRelease release) {
            grants.send(release);
        }
    }

    /** Stores the map if the stored one is still at the expected revision; only its writer learns the outcome. */
    private void completeWrite(KeyAction.WriteMap write, KeyController writer) {
        boolean isAccepted = write.expectedRevision() == revision;
        if (isAccepted) {
            result.recordMoves(stored, write.map());
            stored = write.map();
            revision++;
        }
        if (writer != controller) {
            return;
        }
        if (isAccepted) {
            handle(new KeyEvent.MapWritten(stored, revision));
        } else {
            handle(new KeyEvent.MapWriteFailed(write.map().service()));
            handle(new KeyEvent.MapRead(stored, revision));
        }
    }
}
