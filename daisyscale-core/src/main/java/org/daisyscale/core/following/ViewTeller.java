package org.daisyscale.core.following;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Knows what each follower of a view holds, by its acknowledgements, and decides whom to send an update. A follower
 * gets the difference from exactly what it holds, one update at a time, so that a slow one skips versions. A lost
 * update is sent again when the follower repeats what it holds, and is followed by newer changes after a while. Not
 * thread-safe; confined to one thread.
 */
public final class ViewTeller {
    /** How long a difference may be on its way before the same question counts as a loss, in milliseconds. */
    static final long RESEND_MILLIS = ViewFollower.ASK_AFTER_MILLIS;
    /** How long a whole view may be on its way before the same question counts as a loss, in milliseconds. */
    static final long RESEND_WHOLE_MILLIS = 500;
    /** How long an update may stay without an acknowledgement before a newer one is sent, in milliseconds. */
    static final long UNACKNOWLEDGED_MILLIS = 500;
    /** Maximum number of whole views on their way, so that they do not fill the link of the controller. */
    static final int MAX_WHOLE_ON_THE_WAY = 8;
    /** How long a whole view counts as on its way without an acknowledgement, in milliseconds. */
    static final long WHOLE_MILLIS = 1_500;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<String, Follower> followerById = new HashMap<>();

    /**
     * Records that the follower {@code routerId} holds {@code held}.
     *
     * @param needsWhole whether it needs the whole view because a difference does not apply there
     */
    public void recordHeld(String routerId, ViewVersion held, boolean needsWhole, long nowNanos) {
        Follower known = followerById.get(routerId);
        boolean isRepeated = known != null
                && known.held().equals(held)
                && known.needsWhole() == needsWhole
                && known.sent().filter(update -> update.isExpected(nowNanos)).isPresent();
        if (!isRepeated) {
            followerById.put(routerId, new Follower(held, needsWhole, Optional.empty()));
        }
    }

    /** Forgets the follower {@code routerId}, which is no longer connected. */
    public void forget(String routerId) {
        followerById.remove(routerId);
    }

    /** Forgets all followers, because this router is no longer the controller. */
    public void forgetAll() {
        followerById.clear();
    }

    /**
     * Returns the updates to send so that each follower reaches {@code own}, the version of the view here. They count
     * as sent.
     *
     * @param hasDifferenceFrom whether the difference from a version is known here; otherwise the whole view is sent
     */
    public List<Telling> next(ViewVersion own, Predicate<ViewVersion> hasDifferenceFrom, long nowNanos) {
        List<Telling> tellings = new ArrayList<>();
        Map<ViewVersion, Boolean> hasDifferenceByHeld = new HashMap<>();
        long wholeCount = followerById.values().stream()
                .filter(follower -> follower.isWholeOnTheWay(nowNanos))
                .count();
        for (Map.Entry<String, Follower> entry : followerById.entrySet()) {
            Follower follower = entry.getValue();
            boolean isDue = follower.isBehind(own) && !follower.isBusy(own, nowNanos);
            boolean isWhole = isDue
                    && (follower.needsWhole()
                            || !hasDifferenceByHeld.computeIfAbsent(follower.held(), hasDifferenceFrom::test));
            if (isDue && (!isWhole || wholeCount < MAX_WHOLE_ON_THE_WAY)) {
                wholeCount += isWhole ? 1 : 0;
                tellings.add(new Telling(entry.getKey(), follower.held(), isWhole));
                Optional<SentUpdate> sent = Optional.of(new SentUpdate(own, isWhole, nowNanos));
                entry.setValue(new Follower(follower.held(), follower.needsWhole(), sent));
            }
        }
        return tellings;
    }

    /**
     * An update to send. Immutable.
     *
     * @param routerId the follower
     * @param held what it holds
     * @param isWhole whether it needs the whole view
     */
    public record Telling(String routerId, ViewVersion held, boolean isWhole) {

        /** Returns what is needed, the same for each follower that holds the same. */
        public Telling withoutRouter() {
            return new Telling("", held, isWhole);
        }
    }

    /**
     * What is known about a follower. Immutable.
     *
     * @param held what it said that it holds
     * @param needsWhole whether it needs the whole view
     * @param sent the update that was sent from there
     */
    private record Follower(ViewVersion held, boolean needsWhole, Optional<SentUpdate> sent) {

        boolean isBehind(ViewVersion own) {
            return (!held.hasSameItems(own) || held.revision() == 0)
                    && held.revision() <= own.revision()
                    && own.revision() > 0;
        }

        boolean isBusy(ViewVersion own, long nowNanos) {
            return sent.filter(update -> update.isAwaited(own, nowNanos)).isPresent();
        }

        boolean isWholeOnTheWay(long nowNanos) {
            return sent.filter(update -> update.isWhole() && update.isSentWithin(WHOLE_MILLIS, nowNanos))
                    .isPresent();
        }
    }

    /**
     * An update that was not acknowledged. Immutable.
     *
     * @param version where it leads to
     * @param isWhole whether it is a whole view
     * @param nanos when it was sent, by the monotonic clock
     */
    private record SentUpdate(ViewVersion version, boolean isWhole, long nanos) {

        boolean isSentWithin(long millis, long nowNanos) {
            return nowNanos - nanos < millis * NANOS_PER_MILLI;
        }

        /** Returns whether it is too early to send the update again when the follower repeats what it holds. */
        boolean isExpected(long nowNanos) {
            return isSentWithin(isWhole ? RESEND_WHOLE_MILLIS : RESEND_MILLIS, nowNanos);
        }

        /** Returns whether no newer update is sent before this one is acknowledged. */
        boolean isAwaited(ViewVersion own, long nowNanos) {
            return isWhole || version.hasSameItems(own) || isSentWithin(UNACKNOWLEDGED_MILLIS, nowNanos);
        }
    }
}
