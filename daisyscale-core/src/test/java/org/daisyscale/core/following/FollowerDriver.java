package org.daisyscale.core.following;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.daisyscale.core.following.FollowStep.Holding;

/** Drives a follower by a clock that tests advance, and records what it decides. Not thread-safe. */
final class FollowerDriver {
    static final long MILLIS = 1_000_000L;
    static final long BATCH_MILLIS = 200;
    static final long LAG_MILLIS = ViewFollower.ASK_AFTER_MILLIS - 1;
    static final Teller TELLER = new Teller("r1", 1);

    /** Close to the largest value, so that the clock overflows during most tests. */
    private long nowNanos = Long.MAX_VALUE - 400 * MILLIS;

    private long startNanos = nowNanos;
    private final ViewFollower follower;
    private final List<Holding> holdings = new ArrayList<>();
    private final List<ReadRequest> reads = new ArrayList<>();
    private boolean isController;

    FollowerDriver() {
        this(false);
    }

    FollowerDriver(boolean isTakeoverAwaited) {
        follower = new ViewFollower(new SplittableRandom(1), BATCH_MILLIS, false, isTakeoverAwaited, nowNanos);
    }

    static ViewVersion version(long revision) {
        return new ViewVersion(revision, 10 * revision);
    }

    static ViewUpdate update(long revision, boolean isWhole) {
        return new ViewUpdate("p/", version(revision), isWhole, List.of(), Set.of(), List.of());
    }

    ViewFollower follower() {
        return follower;
    }

    /** Returns what was told to the controller, for the test to read and clear. */
    List<Holding> holdings() {
        return holdings;
    }

    /** Returns the reads that were started, for the test to read and clear. */
    List<ReadRequest> reads() {
        return reads;
    }

    long nowNanos() {
        return nowNanos;
    }

    void becomeController() {
        isController = true;
    }

    /** Lets {@code millis} pass without a step. */
    void pass(long millis) {
        nowNanos += millis * MILLIS;
    }

    void step() {
        FollowStep step = follower.next(isController, nowNanos);
        step.holding().ifPresent(holdings::add);
        step.read().ifPresent(reads::add);
    }

    /** Lets {@code millis} pass, with a step each millisecond. */
    void advance(long millis) {
        for (long passed = 0; passed < millis; passed++) {
            nowNanos += MILLIS;
            step();
        }
    }

    boolean hear(long revision) {
        return follower.hear(TELLER, version(revision), 0, nowNanos);
    }

    /** Lists the prefix at {@code revision} when nothing is known. */
    void list(long revision) {
        step();
        follower.recordRead(version(revision), 0, true, nowNanos);
        reads.clear();
    }

    /** Makes this router hold {@code revision}, as the controller does, and starts the time of the test. */
    void follow(long revision) {
        list(revision);
        hear(revision);
        advance(ViewFollower.ASK_AGAIN_MILLIS);
        hear(revision);
        holdings.clear();
        startNanos = nowNanos;
    }

    long millisSinceStart(long nanos) {
        return (nanos - startNanos) / MILLIS;
    }

    void reportNewerRevisionsWithinTheLag(long revision) {
        for (long newer = revision + 1; newer <= revision + 10; newer++) {
            advance(LAG_MILLIS);
            hear(newer);
        }
    }
}
