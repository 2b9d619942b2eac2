package org.daisyscale.router.internal.following;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.daisyscale.core.following.ReadRequest;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.ItemChange;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.router.serving.StoreException;

/** A store in simulated time, whose responses may be lost. Not thread-safe. */
final class SimulatedStore {
    private static final long TRANSIT_MILLIS = 2;
    private static final long CALL_TIMEOUT_MILLIS = 600;
    private static final long WATCH_MARGIN_MILLIS = 1_500;
    private static final int KEY_COUNT = 12;

    private final SimulatedTime time;
    private final double lossRatio;
    private final Map<String, Item> items = new TreeMap<>();
    private final List<ItemChange> log = new ArrayList<>();
    private final Map<Long, Long> changedMillisByRevision = new HashMap<>();
    private final List<Runnable> watches = new ArrayList<>();
    private long revision = 100;

    SimulatedStore(SimulatedTime time, double lossRatio) {
        this.time = time;
        this.lossRatio = lossRatio;
    }

    /** Writes or removes one item. */
    void change() {
        revision++;
        String key = "servers/" + time.random().nextInt(KEY_COUNT);
        boolean isRemoval = items.containsKey(key) && time.random().nextInt(3) == 0;
        Item item = new Item(key, new byte[] {1}, revision);
        if (isRemoval) {
            items.remove(key);
        } else {
            items.put(key, item);
        }
        log.add(new ItemChange(key, revision, isRemoval ? Optional.empty() : Optional.of(item)));
        changedMillisByRevision.put(revision, time.nowMillis());
        List<Runnable> answered = List.copyOf(watches);
        watches.clear();
        answered.forEach(Runnable::run);
    }

    /** Counts a change under another prefix. */
    void changeElsewhere() {
        revision++;
    }

    /** Returns the items that were written {@code millis} ago or earlier and are still there. */
    List<Item> itemsOlderThan(long millis) {
        return items.values().stream()
                .filter(item -> time.nowMillis() - changedMillisByRevision.get(item.revision()) >= millis)
                .toList();
    }

    /** Makes the call; its end is received by {@code receiver}. */
    void read(long number, ReadRequest request, Receiver receiver) {
        boolean isLost = time.random().nextDouble() < lossRatio;
        if (isLost) {
            boolean isWatch = request.kind() == ReadRequest.Kind.WATCH;
            long timeoutMillis = isWatch ? request.waitMillis() + WATCH_MARGIN_MILLIS : CALL_TIMEOUT_MILLIS;
            StoreException failure = new StoreException(StoreException.Code.UNREACHABLE, "the response is lost", null);
            time.after(timeoutMillis, () -> receiver.receive(new FollowEvent.ReadFailed(number, failure)));
        } else {
            time.after(TRANSIT_MILLIS, () -> answer(number, request, receiver));
        }
    }

    private void answer(long number, ReadRequest request, Receiver receiver) {
        if (request.kind() == ReadRequest.Kind.LIST) {
            FollowEvent listed = new FollowEvent.Listed(number, new Listing(List.copyOf(items.values()), revision));
            time.after(TRANSIT_MILLIS, () -> receiver.receive(listed));
        } else if (!changesAfter(request.afterRevision()).isEmpty()) {
            answerWatch(number, request, receiver);
        } else {
            SimulatedTime.Once once = new SimulatedTime.Once(() -> answerWatch(number, request, receiver));
            watches.add(once);
            time.after(request.waitMillis(), once);
        }
    }

    private void answerWatch(long number, ReadRequest request, Receiver receiver) {
        Changes changes = new Changes(changesAfter(request.afterRevision()), revision);
        time.after(TRANSIT_MILLIS, () -> receiver.receive(new FollowEvent.Watched(number, Optional.of(changes))));
    }

    private List<ItemChange> changesAfter(long afterRevision) {
        return log.stream().filter(change -> change.revision() > afterRevision).toList();
    }

    /** Receives the end of a call. */
    interface Receiver {
        void receive(FollowEvent end);
    }
}
