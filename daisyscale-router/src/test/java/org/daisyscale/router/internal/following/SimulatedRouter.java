package org.daisyscale.router.internal.following;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.daisyscale.core.following.ItemView;
import org.daisyscale.core.following.ReadRequest;
import org.daisyscale.core.following.Teller;
import org.daisyscale.core.following.ViewFollower;
import org.daisyscale.core.following.ViewListener;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.router.internal.ring.Ring;

/** A router that follows the servers in simulated time. Not thread-safe. */
final class SimulatedRouter implements FollowPeers, StoreReader {
    private static final String PREFIX = "servers/";
    private static final long TRANSIT_MILLIS = 3;
    private static final int MAX_STEPS = 1_000;

    private final String id;
    private final SimulatedTime time;
    private final SimulatedStore store;
    private final Map<String, SimulatedRouter> routerById;
    private final EventRing inbox = new EventRing();
    private final FollowDuty duty;
    private final ItemView view;
    private final Map<String, Long> newestRevisionByKey = new HashMap<>();
    private final Map<String, Long> heldRevisionByKey = new HashMap<>();
    private final List<String> itemsThatCameBack = new ArrayList<>();
    private final Deque<Runnable> waitingReads = new ArrayDeque<>();
    private String controllerId = "";
    private boolean isAlive = true;
    private boolean isReading;
    private long wakeUps;
    private long newestRead;

    SimulatedRouter(String id, SimulatedTime time, SimulatedStore store, Map<String, SimulatedRouter> routerById) {
        this.id = id;
        this.time = time;
        this.store = store;
        this.routerById = routerById;
        this.view = new ItemView(PREFIX, new HeldItems());
        this.duty = new FollowDuty(
                PREFIX,
                view,
                new ViewFollower(time.random().split(), 200, false, time.nowNanos()),
                inbox,
                this,
                this,
                new FollowReports((event, detail) -> {}, result -> {}, nanos -> {}),
                time::nowNanos);
        time.after(0, this::run);
    }

    void kill() {
        isAlive = false;
    }

    void setController(String newControllerId) {
        controllerId = newControllerId;
    }

    List<String> itemsThatCameBack() {
        return itemsThatCameBack;
    }

    /** Returns whether the router runs and has neither {@code item} nor a newer version of it. */
    boolean lacks(Item item) {
        return isAlive && heldRevisionByKey.getOrDefault(item.key(), 0L) < item.revision();
    }

    private void run() {
        long wakeUp = ++wakeUps;
        int steps = 0;
        do {
            inbox.hasDelivered = false;
            step();
            steps++;
        } while (isAlive && (inbox.hasDelivered || inbox.size() > 0) && steps < MAX_STEPS);
        time.after(inbox.waitMillis, () -> {
            if (isAlive && wakeUp == wakeUps) {
                run();
            }
        });
    }

    private void step() {
        try {
            duty.runStep();
        } catch (InterruptedException e) {
            throw new IllegalStateException("the ring of the simulation never waits", e);
        }
    }

    private void receive(FollowEvent event) {
        if (isAlive) {
            inbox.put(event);
            time.after(0, this::run);
        }
    }

    @Override
    public boolean isController() {
        return controllerId.equals(id);
    }

    @Override
    public int broadcast(PeerMessage message) {
        routerById.keySet().stream().filter(other -> !other.equals(id)).forEach(other -> send(other, message));
        return routerById.size() - 1;
    }

    @Override
    public void send(String routerId, PeerMessage message) {
        time.after(TRANSIT_MILLIS, () -> routerById.get(routerId).hear(id, message));
    }

    private void hear(String from, PeerMessage message) {
        if (message instanceof PeerMessage.ViewHeld held) {
            receive(new FollowEvent.Held(from, held.version(), held.needsWhole()));
        } else if (message instanceof PeerMessage.ViewReport report && from.equals(controllerId)) {
            receive(new FollowEvent.Reported(new Teller(from, 1), report.version(), report.ageMillis()));
        } else if (message instanceof PeerMessage.ViewUpdated updated && from.equals(controllerId)) {
            receive(new FollowEvent.Updated(from, updated.update()));
        }
    }

    @Override
    public void start(long number, ReadRequest request) {
        newestRead = number;
        if (isReading) {
            waitingReads.add(() -> read(number, request));
        } else {
            read(number, request);
        }
    }

    private void read(long number, ReadRequest request) {
        isReading = number == newestRead;
        if (isReading) {
            store.read(number, request, end -> {
                receive(end);
                readNext();
            });
        } else {
            readNext();
        }
    }

    private void readNext() {
        isReading = false;
        Optional.ofNullable(waitingReads.poll()).ifPresent(Runnable::run);
    }

    private final class HeldItems implements ViewListener {
        @Override
        public void onWritten(Item item, EventTime writtenAt) {
            Long newest = newestRevisionByKey.put(item.key(), item.revision());
            if (newest != null && newest >= item.revision()) {
                itemsThatCameBack.add(
                        "%s has %s again at revision %d, it had %d".formatted(id, item.key(), item.revision(), newest));
            }
            heldRevisionByKey.put(item.key(), item.revision());
        }

        @Override
        public void onRemoved(String key) {
            heldRevisionByKey.remove(key);
        }

        @Override
        public void onComplete() {
            // The items are checked, not what is complete.
        }
    }

    /** A ring that never waits and keeps how long it was to wait. */
    private static final class EventRing implements Ring<FollowEvent> {
        private final Deque<FollowEvent> events = new ArrayDeque<>();
        private long waitMillis;
        private boolean hasDelivered;

        @Override
        public String name() {
            return "events";
        }

        @Override
        public boolean offer(FollowEvent event) {
            return events.offer(event);
        }

        @Override
        public void put(FollowEvent event) {
            events.add(event);
        }

        @Override
        public Optional<FollowEvent> poll(Duration timeout) {
            waitMillis = timeout.isZero() ? waitMillis : timeout.toMillis();
            Optional<FollowEvent> event = Optional.ofNullable(events.poll());
            hasDelivered |= event.isPresent();
            return event;
        }

        @Override
        public int size() {
            return events.size();
        }

        @Override
        public int capacity() {
            return 256;
        }
    }
}
