package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.daisyscale.core.following.ReadRequest;
import org.daisyscale.core.following.ReadRequest.Kind;
import org.daisyscale.core.following.ReadRequest.Reason;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.router.internal.following.FollowEvent;
import org.daisyscale.router.internal.following.ThreadedStoreReader;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.internal.serving.StallingStore.Response;
import org.daisyscale.router.serving.StoreException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ThreadedStoreReaderTest {
    private static final ReadRequest LIST = new ReadRequest(Kind.LIST, 0, 0, Reason.NOT_LISTED);
    private static final ReadRequest WATCH = new ReadRequest(Kind.WATCH, 7, 5_000, Reason.CONTROLLER_SILENT);
    /** The time in which a replaced watch is given up, and within which a listing has to begin, in milliseconds. */
    private static final long REPLACE_LIMIT_MILLIS = 100 + 600;

    private static final long MAX_WAIT_MILLIS = 12_000;

    private final HttpLoop loop = HttpLoop.start("test-calls");
    private final Ring<FollowEvent> inbox = new ArrayRing<>("follow-op/", 8);
    private final CountDownLatch stalled = new CountDownLatch(1);
    private final List<AutoCloseable> opened = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable resource : opened) {
            resource.close();
        }
        loop.close();
    }

    private StoreClient startStore(Function<String, Response> responses, long listingTimeoutMillis) throws IOException {
        StallingStore store = new StallingStore(responses);
        opened.add(store);
        return new StoreClient(loop, store.address(), new StallingStore.Dialect(), listingTimeoutMillis);
    }

    private ThreadedStoreReader startReader(CoordinationStore store) {
        ThreadedStoreReader reader = ThreadedStoreReader.start(store, "op/", inbox);
        opened.add(0, reader);
        return reader;
    }

    private static Response listing(boolean hasMore) {
        return StallingStore.whole(
                200, StallingStore.listingBody(8, hasMore, new Item("op/a", new byte[] {'1'}, 4)), 0);
    }

    private FollowEvent awaitEvent() throws InterruptedException {
        return inbox.poll(Duration.ofMillis(MAX_WAIT_MILLIS)).orElseThrow();
    }

    private static long millisSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Guards against a read that stays pending for ever, so that the prefix is never read again. */
    @Test
    void shouldEndAReadAsAnEventAfterAnError() throws Exception {
        ThreadedStoreReader reader = startReader(new FailingStore());

        reader.start(1, LIST);
        FollowEvent first = awaitEvent();
        reader.start(2, WATCH);
        FollowEvent second = awaitEvent();

        assertThat(first)
                .isInstanceOfSatisfying(
                        FollowEvent.ReadFailed.class,
                        failed -> assertThat(failed.number()).isEqualTo(1));
        assertThat(second)
                .isInstanceOfSatisfying(
                        FollowEvent.ReadFailed.class,
                        failed -> assertThat(failed.number()).isEqualTo(2));
    }

    /** Guards against a listing that waits behind the watch that it replaces. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shouldListInTimeInsteadOfAWatchThatStalls(boolean hasBegun) throws Exception {
        StoreClient store = startStore(
                target -> {
                    if (target.startsWith("/list")) {
                        return listing(false);
                    }
                    stalled.countDown();
                    return hasBegun ? StallingStore.byteByByte(100, 100) : StallingStore.unanswered();
                },
                MAX_WAIT_MILLIS);
        ThreadedStoreReader reader = startReader(store);
        reader.start(1, WATCH);
        stalled.await();
        Thread.sleep(300);

        long startNanos = System.nanoTime();
        reader.start(2, LIST);
        FollowEvent event = awaitEvent();
        while (event instanceof FollowEvent.Watched) {
            event = awaitEvent();
        }

        assertThat(event)
                .isInstanceOfSatisfying(
                        FollowEvent.Listed.class,
                        listed -> assertThat(listed.number()).isEqualTo(2));
        assertThat(millisSince(startNanos)).isLessThanOrEqualTo(REPLACE_LIMIT_MILLIS);
    }

    @Test
    void shouldCloseWithoutWaitingForTheEndOfAStalledCall() throws Exception {
        StoreClient store = startStore(
                target -> {
                    stalled.countDown();
                    return StallingStore.byteByByte(100, 100);
                },
                MAX_WAIT_MILLIS);
        ThreadedStoreReader reader = startReader(store);
        reader.start(1, LIST);
        stalled.await();

        long startNanos = System.nanoTime();
        reader.close();

        assertThat(millisSince(startNanos)).isLessThan(1_000);
        assertThat(Thread.getAllStackTraces().keySet())
                .noneMatch(thread -> thread.getName().equals("read-op/"));
    }

    /** Guards against a thread that reads pages for ever while others wait for the end of the read. */
    @Test
    void shouldEndAListingWhosePagesNeverEnd() throws Exception {
        ThreadedStoreReader reader = startReader(startStore(target -> listing(true), 500));

        long startNanos = System.nanoTime();
        reader.start(1, LIST);
        FollowEvent event = awaitEvent();

        assertThat(event).isInstanceOf(FollowEvent.ReadFailed.class);
        assertThat(millisSince(startNanos)).isBetween(500L, 500L + REPLACE_LIMIT_MILLIS);
    }

    /** A store whose calls end with an error of the machine and not of the store. */
    private static final class FailingStore implements CoordinationStore {

        @Override
        public Optional<Item> get(String key) {
            throw new AssertionError("no such call");
        }

        @Override
        public Listing list(String prefix) {
            throw new StackOverflowError("while the response was decoded");
        }

        @Override
        public Optional<Changes> watch(String prefix, long afterRevision, Duration wait, BooleanSupplier isOverdue) {
            throw new IllegalArgumentException("while the response was decoded");
        }

        @Override
        public WriteResult write(Change change) {
            throw new StoreException(StoreException.Code.UNREACHABLE, "no such call", null);
        }

        @Override
        public long grantLease(Duration timeToLive) {
            return 1;
        }

        @Override
        public boolean renewLease(long leaseId) {
            return true;
        }

        @Override
        public void endLease(long leaseId) {
            // No item of this store is bound to a lease.
        }
    }
}
