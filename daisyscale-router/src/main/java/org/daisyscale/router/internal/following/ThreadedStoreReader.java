package org.daisyscale.router.internal.following;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.daisyscale.core.following.ReadRequest;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.router.internal.duty.DutyThread;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.StoreException;

/**
 * Reads a prefix on a thread of its own, so that a call that stalls delays no event of the duty. Each read that was not
 * replaced ends as an event, also after an error. Thread-safe.
 */
public final class ThreadedStoreReader implements StoreReader, AutoCloseable {
    /** A watch that was given up and the listing that replaces it. */
    private static final int RING_CAPACITY = 4;

    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    private final CoordinationStore store;
    private final String prefix;
    private final Ring<FollowEvent> inbox;
    private final Ring<NumberedRead> reads;
    private final AtomicLong newestNumber = new AtomicLong();
    private final DutyThread thread;

    private ThreadedStoreReader(CoordinationStore store, String prefix, Ring<FollowEvent> inbox) {
        this.store = store;
        this.prefix = prefix;
        this.inbox = inbox;
        this.reads = new ArrayRing<>("reads-" + prefix, RING_CAPACITY);
        this.thread = DutyThread.start("read-" + prefix, this::runStep);
    }

    /** Starts the thread, which reads {@code prefix} and adds the ends of the reads to {@code inbox}. */
    public static ThreadedStoreReader start(CoordinationStore store, String prefix, Ring<FollowEvent> inbox) {
        return new ThreadedStoreReader(store, prefix, inbox);
    }

    @Override
    public void start(long number, ReadRequest request) {
        newestNumber.set(number);
        if (!reads.offer(new NumberedRead(number, request))) {
            throw new IllegalStateException("more than " + RING_CAPACITY + " reads of " + prefix + " are waiting");
        }
    }

    private void runStep() throws InterruptedException {
        Optional<NumberedRead> read = reads.poll(MAX_WAIT);
        if (read.isPresent() && !isReplaced(read.get().number())) {
            readAndReport(read.get());
        }
    }

    private boolean isReplaced(long number) {
        return newestNumber.get() != number;
    }

    private void readAndReport(NumberedRead read) throws InterruptedException {
        FollowEvent end = new FollowEvent.ReadFailed(
                read.number(),
                new StoreException(StoreException.Code.UNREACHABLE, "the read ended with an error", null));
        try {
            end = read(read.number(), read.request());
        } catch (StoreException e) {
            end = new FollowEvent.ReadFailed(read.number(), e);
        } finally {
            inbox.put(end);
        }
    }

    private FollowEvent read(long number, ReadRequest request) {
        if (request.kind() == ReadRequest.Kind.LIST) {
            return new FollowEvent.Listed(number, store.list(prefix));
        }
        Duration wait = Duration.ofMillis(request.waitMillis());
        return new FollowEvent.Watched(
                number, store.watch(prefix, request.afterRevision(), wait, () -> isReplaced(number)));
    }

    @Override
    public void close() {
        thread.close();
    }

    private record NumberedRead(long number, ReadRequest request) {}
}
