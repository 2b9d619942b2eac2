package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.daisyscale.core.following.ReadRequest;
import org.daisyscale.core.following.ViewContents;
import org.daisyscale.core.following.ViewFollower;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.router.internal.following.FollowDuty;
import org.daisyscale.router.internal.following.FollowEvent;
import org.daisyscale.router.internal.following.FollowReports;
import org.daisyscale.router.internal.following.FollowedPrefix;
import org.daisyscale.router.internal.following.StoreReader;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.StoreException;

/**
 * One prefix that a router of a test follows. Until its threads are started the test runs the steps of the duty, which
 * read the store in the thread of the test. Whether it is told may be read by any thread.
 */
final class FollowedView implements AutoCloseable {
    private static final int RING_CAPACITY = 64;

    private final CoordinationStore store;
    private final String prefix;
    private final Ring<FollowEvent> inbox;
    private final FollowDuty duty;
    private volatile StoreReader reader = this::readInStep;
    private volatile boolean isTold;
    private FollowedPrefix threads;

    private FollowedView(
            CoordinationStore store, String prefix, ViewContents contents, ViewFollower follower, ControllerLink link) {
        this.store = store;
        this.prefix = prefix;
        this.inbox = new ArrayRing<>("follow-" + prefix, RING_CAPACITY);
        FollowReports reports = new FollowReports(this::report, result -> {}, nanos -> {});
        this.duty = new FollowDuty(prefix, contents, follower, inbox, this::read, link, reports, System::nanoTime);
    }

    /** Creates a view that has read nothing and receives what other routers send by {@code link}. */
    static FollowedView create(
            CoordinationStore store, String prefix, ViewContents contents, ViewFollower follower, ControllerLink link) {
        FollowedView view = new FollowedView(store, prefix, contents, follower, link);
        link.follow(prefix, view.inbox);
        return view;
    }

    private void report(String event, String detail) {
        EventLog.info(event, detail);
        if (event.equals("view-source-changed")) {
            isTold = detail.contains(" source=controller ");
        }
    }

    private void read(long number, ReadRequest request) {
        reader.start(number, request);
    }

    private void readInStep(long number, ReadRequest request) {
        FollowEvent end;
        try {
            end = request.kind() == ReadRequest.Kind.LIST
                    ? new FollowEvent.Listed(number, store.list(prefix))
                    : new FollowEvent.Watched(
                            number,
                            store.watch(
                                    prefix,
                                    request.afterRevision(),
                                    Duration.ofMillis(request.waitMillis()),
                                    () -> false));
        } catch (StoreException e) {
            end = new FollowEvent.ReadFailed(number, e);
        }
        addReadEnd(end);
    }

    private void failRead(long number, ReadRequest request) {
        addReadEnd(new FollowEvent.ReadFailed(
                number,
                new StoreException(StoreException.Code.UNREACHABLE, request.kind() + " is not answered", null)));
    }

    private void addReadEnd(FollowEvent end) {
        if (!inbox.offer(end)) {
            throw new IllegalStateException("the ring of " + prefix + " is full in a step of the test");
        }
    }

    /** Runs a step of the duty in this thread. */
    void runStep() throws InterruptedException {
        duty.runStep();
    }

    /** Runs a step of the duty in which the store does not answer, so that only what others sent becomes known. */
    void runStepWithoutStore() throws InterruptedException {
        reader = this::failRead;
        try {
            duty.runStep();
        } finally {
            reader = this::readInStep;
        }
    }

    /** Starts the threads of the duty and of its reads. */
    void start() {
        threads = FollowedPrefix.start(store, prefix, inbox, threadedReader -> {
            reader = threadedReader;
            return duty;
        });
    }

    /** Fills the ring of the duty with events that change nothing, so that what others send is lost. */
    void fillRing() {
        boolean hasRoom = true;
        while (hasRoom) {
            hasRoom = inbox.offer(new FollowEvent.FollowerLost("nobody"));
        }
    }

    /** Removes and returns all events that wait for the duty, which are lost for it. */
    List<FollowEvent> removeEvents() throws InterruptedException {
        List<FollowEvent> events = new ArrayList<>();
        Optional<FollowEvent> event = inbox.poll(Duration.ZERO);
        while (event.isPresent()) {
            events.add(event.get());
            event = inbox.poll(Duration.ZERO);
        }
        return events;
    }

    /** Returns whether the duty waits for what the controller sends and not for the store. */
    boolean isTold() {
        return isTold;
    }

    @Override
    public void close() {
        if (threads != null) {
            threads.close();
        }
    }
}
