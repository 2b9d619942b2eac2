package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.daisyscale.core.peer.PeerMessage.OperatorUpdate;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.router.internal.duty.Backoff;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.StoreException;

/**
 * Follows what operators write. A configuration is large and the store answers with each of its versions whole, so only
 * the controller watches it there and tells the others what changed. A router reads the store when the controller is
 * silent, when it has read further, and when its update doesn't fit what is known here. While changes come faster than
 * they are read, the prefix is listed, as a list has the newest version only. One step is for one thread.
 */
final class OperatorWatchDuty {
    /** The first and the longest pause after a failed call, in milliseconds. */
    private static final long MIN_PAUSE_MILLIS = 40;

    private static final long MAX_PAUSE_MILLIS = 400;
    /** How often a router looks whether the controller has read further, in milliseconds. */
    private static final long LOOK_MILLIS = 100;

    private final CoordinationStore store;
    private final String prefix;
    private final FollowedWatch guard;
    private final long gatherMillis;
    private final Ring<OperatorUpdate> updates;
    private final OperatorBook book;
    private final Consumer<OperatorUpdate> publisher;
    private final Backoff backoff = new Backoff(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS);
    private final StoreContact contact;
    private long revision;
    private long lastChangeRevision;
    private boolean isListed;
    private boolean isQuick;

    /**
     * Creates the duty.
     *
     * @param updates brings what the controller tells
     * @param publisher gets what this router read, for the others
     * @param gatherMillis changes that follow one within this time come with one call
     */
    OperatorWatchDuty(
            CoordinationStore store,
            String prefix,
            FollowedWatch guard,
            long gatherMillis,
            Ring<OperatorUpdate> updates,
            OperatorBook book,
            Consumer<OperatorUpdate> publisher) {
        this.store = store;
        this.prefix = prefix;
        this.guard = guard;
        this.gatherMillis = gatherMillis;
        this.updates = updates;
        this.book = book;
        this.publisher = publisher;
        this.contact = new StoreContact(prefix);
    }

    /** Reads or waits once. */
    void runStep() throws InterruptedException {
        try {
            if (isListed && guard.isConfirmed()) {
                awaitUpdate(LOOK_MILLIS);
                isListed = guard.isConfirmed() && !guard.isBehind(revision);
            } else {
                readStore();
            }
        } catch (StoreException e) {
            contact.lost(e, revision);
            isListed = false;
            awaitUpdate(backoff.nextMillis());
        }
        guard.noteAge();
    }

    private void awaitUpdate(long millis) throws InterruptedException {
        updates.poll(Duration.ofMillis(millis)).ifPresent(this::take);
    }

    private void take(OperatorUpdate update) {
        if (update.revision() > revision && book.told(update)) {
            isListed = true;
            reached(update.revision(), update.revision());
        }
    }

    private void readStore() throws InterruptedException {
        if (isListed && !isQuick) {
            watch();
        } else {
            list();
        }
        backoff.reset();
        if (isListed) {
            awaitUpdate(gatherMillis);
        }
    }

    private void list() {
        CoordinationStore.Listing listing = store.list(prefix);
        contact.answered(revision);
        book.listed(listing.items());
        isListed = true;
        long before = lastChangeRevision;
        long newest = listing.items().stream()
                .mapToLong(CoordinationStore.Item::revision)
                .max()
                .orElse(0);
        reached(listing.revision(), newest);
        isQuick = isQuick && lastChangeRevision > before;
    }

    private void watch() {
        long startNanos = System.nanoTime();
        Optional<Changes> changes =
                store.watch(prefix, revision, guard.nextWait(), () -> guard.isOverdue(revision, startNanos));
        contact.answered(revision);
        if (changes.isEmpty()) {
            isListed = false;
        } else if (changes.get().changes().isEmpty()) {
            heardNothing(changes.get().revision());
        } else {
            apply(changes.get());
        }
    }

    /** A store whose revision rose may have kept a change back, as one whose history is dropped does. */
    private void heardNothing(long storeRevision) {
        isListed = storeRevision <= revision;
        if (isListed) {
            reached(revision, lastChangeRevision);
        }
    }

    private void apply(Changes changes) {
        book.changed(changes.changes());
        isQuick = changes.changes().size() > 1;
        long newest = changes.changes().get(changes.changes().size() - 1).revision();
        reached(Math.max(newest, changes.revision()), newest);
    }

    private void reached(long newRevision, long newestChange) {
        revision = Math.max(revision, newRevision);
        lastChangeRevision = Math.max(lastChangeRevision, newestChange);
        book.update(lastChangeRevision).ifPresent(publisher);
        guard.reached(lastChangeRevision);
    }
}
