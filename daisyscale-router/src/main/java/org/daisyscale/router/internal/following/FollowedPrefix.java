package org.daisyscale.router.internal.following;

import java.util.function.Function;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.router.internal.duty.DutyThread;
import org.daisyscale.router.internal.ring.Ring;

/** The threads that follow one prefix: one for the duty, one for its reads of the store. Thread-safe. */
public final class FollowedPrefix implements AutoCloseable {
    private final ThreadedStoreReader reader;
    private final FollowDuty duty;
    private final DutyThread thread;

    private FollowedPrefix(ThreadedStoreReader reader, FollowDuty duty, DutyThread thread) {
        this.reader = reader;
        this.duty = duty;
        this.thread = thread;
    }

    /**
     * Starts the threads.
     *
     * @param inbox the ring of the duty's events
     * @param createDuty creates the duty with the reader that it uses
     */
    public static FollowedPrefix start(
            CoordinationStore store,
            String prefix,
            Ring<FollowEvent> inbox,
            Function<StoreReader, FollowDuty> createDuty) {
        ThreadedStoreReader reader = ThreadedStoreReader.start(store, prefix, inbox);
        FollowDuty duty = createDuty.apply(reader);
        return new FollowedPrefix(reader, duty, DutyThread.start("follow-" + prefix, duty::runStep));
    }

    /** Returns the time since the view was last known to lack nothing, in milliseconds. */
    public long ageMillis() {
        return duty.ageMillis();
    }

    @Override
    public void close() {
        thread.close();
        reader.close();
    }
}
