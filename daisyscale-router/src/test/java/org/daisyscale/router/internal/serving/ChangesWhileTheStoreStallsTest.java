package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;
import org.daisyscale.core.peer.PeerMessage.OperatorUpdate;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.duty.DutyThread;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.internal.serving.StallingStore.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against changes that come into force too late at a router that reaches the store or the controller, because
 * the duty that follows them waits in a call to the store or is behind with the updates of the controller.
 */
class ChangesWhileTheStoreStallsTest {
    /** The time limit for a confirmed change to come into force, in milliseconds. */
    private static final long APPLY_LIMIT_MILLIS = 2_000;
    /** The longest time that a test waits for a change, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 12_000;

    private static final long CHANGE_BATCH_MILLIS = 200;
    private static final int OPERATOR_RING_CAPACITY = 16;
    /** The revision of version 0; each version of the configuration is one change. */
    private static final long FIRST_REVISION = 100;

    private final HttpLoop loop = HttpLoop.start("test-calls");
    private final Ring<OperatorUpdate> operatorUpdates = new ArrayRing<>("operator-updates", OPERATOR_RING_CAPACITY);
    private final AtomicLong writtenVersion = new AtomicLong(1);
    private final NavigableMap<Long, Long> inForceNanos = new ConcurrentSkipListMap<>();
    private final List<AutoCloseable> opened = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable resource : opened) {
            resource.close();
        }
        loop.close();
    }

    /** The ways in which a store that dropped its history answers a watch. */
    private enum DroppedHistory {
        GONE,
        CHANGES_WITHHELD
    }

    private static long revision(long version) {
        return FIRST_REVISION + version;
    }

    private static Item item(long version) {
        return OperatorWatchDutyTest.configuration(version, revision(version));
    }

    private static ConfirmedWatchGuard guard(String prefix) {
        return new ConfirmedWatchGuard(prefix, progress -> {}, () -> false, () -> {}, System::nanoTime);
    }

    private StoreClient startStore(Function<String, Response> responses) throws IOException {
        StallingStore store = new StallingStore(responses);
        opened.add(store);
        return new StoreClient(loop, store.address(), new StallingStore.Dialect());
    }

    private Response listing() {
        long version = writtenVersion.get();
        return StallingStore.whole(200, StallingStore.listingBody(revision(version), false, item(version)), 0);
    }

    private OperatorWatchDuty operatorDuty(StoreClient store, ConfirmedWatchGuard guard) {
        Consumer<ServingEvent> events = event -> {
            if (event instanceof ServingEvent.TableChanged changed) {
                inForceNanos.putIfAbsent(changed.table().version(), System.nanoTime());
            }
        };
        OperatorState state = new OperatorState(new OperatorWatchDutyTest.NumbersDecoder(), events, new Readiness());
        return new OperatorWatchDuty(store, "op/", guard, CHANGE_BATCH_MILLIS, operatorUpdates, state, update -> {});
    }

    private void start(DutyThread.Step step) {
        opened.add(0, DutyThread.start("test-watch", step));
    }

    /**
     * Writes {@code count} versions and returns the longest time until one of them came into force.
     *
     * @param report sends a version to the router
     * @param confirmation confirms the newest version to the router, after each report and then repeatedly
     */
    private long longestDelayMillis(
            long firstVersion, int count, long intervalMillis, LongConsumer report, LongConsumer confirmation)
            throws InterruptedException {
        long lastVersion = firstVersion + count - 1;
        Map<Long, Long> writtenNanos = new TreeMap<>();
        for (long version = firstVersion; version <= lastVersion; version++) {
            writtenNanos.put(version, System.nanoTime());
            writtenVersion.set(version);
            report.accept(version);
            confirmation.accept(version);
            Thread.sleep(intervalMillis);
        }
        long endNanos = System.nanoTime() + MAX_WAIT_MILLIS * 1_000_000L;
        while (inForceNanos.ceilingKey(lastVersion) == null && System.nanoTime() - endNanos < 0) {
            Thread.sleep(ConfirmedWatchGuard.CONTROLLER_WAIT_MILLIS);
            confirmation.accept(lastVersion);
        }
        long longestNanos = 0;
        for (Map.Entry<Long, Long> written : writtenNanos.entrySet()) {
            long atNanos = inForceNanos.tailMap(written.getKey()).values().stream()
                    .mapToLong(Long::longValue)
                    .min()
                    .orElse(endNanos);
            longestNanos = Math.max(longestNanos, atNanos - written.getValue());
        }
        return longestNanos / 1_000_000L;
    }

    /** Guards against a router without a controller that waits for changes which a store without history withholds. */
    @ParameterizedTest
    @EnumSource(DroppedHistory.class)
    void shouldApplyQuickChangesInTimeWhileTheStoreHasNoHistory(DroppedHistory history) throws Exception {
        StoreClient store = startStore(target -> {
            if (target.startsWith("/list")) {
                return listing();
            }
            return history == DroppedHistory.GONE
                    ? StallingStore.whole(410, "", 0)
                    : StallingStore.whole(
                            200,
                            StallingStore.changesBody(revision(writtenVersion.get() + 1)),
                            ConfirmedWatchGuard.UNCONFIRMED_WAIT_MILLIS);
        });
        start(operatorDuty(store, guard("op/"))::runStep);

        long delayMillis = longestDelayMillis(2, 30, 100, version -> {}, version -> {});

        assertThat(delayMillis).isLessThanOrEqualTo(APPLY_LIMIT_MILLIS);
    }
}
