package org.daisyscale.core.following;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Knows what each follower of a view holds, by its acknowledgements, and decides whom to send an update. A follower
 * gets the difference from exactly what it holds, one update at a time, so that a slow one skips versions; a lost
 * update is sent again when the follower repeats what it holds. Not thread-safe; confined to one thread.
 */
public final class ViewTeller {
    /** How long an update may be on its way before the same question counts as a loss, in milliseconds. */
    static final long RESEND_MILLIS = 500;
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
                && known.isOnTheWay()
                && nowNanos - known.sentNanos() < RESEND_MILLIS * NANOS_PER_MILLI;
        if (!isRepeated) {
            followerById.put(routerId, new Follower(held, needsWhole, false, false, nowNanos));
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
            boolean isBehind = follower.isBehind(own);
            boolean isWhole = isBehind
                    && (follower.needsWhole()
                            || !hasDifferenceByHeld.computeIfAbsent(follower.held(), hasDifferenceFrom::test));
            if (isBehind && (!isWhole || wholeCount < MAX_WHOLE_ON_THE_WAY)) {
                wholeCount += isWhole ? 1 : 0;
                tellings.add(new Telling(entry.getKey(), follower.held(), isWhole));
                entry.setValue(new Follower(follower.held(), follower.needsWhole(), true, isWhole, nowNanos));
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
     * @param isOnTheWay whether an update was sent that it has not acknowledged
     * @param isWhole whether that update is a whole view
     * @param sentNanos when that update was sent, by the monotonic clock
     */
    private record Follower(ViewVersion held, boolean needsWhole, boolean isOnTheWay, boolean isWhole, long sentNanos) {

        boolean isBehind(ViewVersion own) {
            return !isOnTheWay
                    && (!held.hasSameItems(own) || held.revision() == 0)
                    && held.revision() <= own.revision()
                    && own.revision() > 0;
        }

        boolean isWholeOnTheWay(long nowNanos) {
            return isOnTheWay && isWhole && nowNanos - sentNanos < WHOLE_MILLIS * NANOS_PER_MILLI;
        }
    }
}
