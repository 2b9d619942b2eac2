package org.daisyscale.core.internal.serving;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.core.serving.FleetNews;
import org.daisyscale.core.serving.ServerNotice;
import org.daisyscale.core.serving.ServingAction;

/**
 * Remembers what servers announced in their answers: that they leave, and how long they want no requests.
 *
 * <p>Invariants: an announcement holds for the incarnation that made it, whatever the store says and however often its
 * registration lapses; a pause is never shortened. At most {@value #MAX_INCARNATIONS} incarnations are kept, and those
 * that announced something first are evicted first.
 *
 * <p>Not thread-safe; confined to the core thread.
 */
final class ServerNotices {
    private static final int MAX_INCARNATIONS = 10_000;
    /** How long after a pause a server gets only what a cold one may get, in milliseconds. */
    private static final long RAMP_MILLIS = 1_000;

    private final ServerRegistry servers;
    private final Map<Incarnation, Announced> announcedByIncarnation = new LinkedHashMap<>();

    ServerNotices(ServerRegistry servers) {
        this.servers = servers;
    }

    /** Handles what {@code server} announced; returns what has to be told of it. */
    List<ServingAction> handle(BackendServer server, ServerNotice notice, long nowNanos) {
        if (notice.equals(ServerNotice.NONE)) {
            return List.of();
        }
        List<ServingAction> actions = new ArrayList<>();
        Announced announced = announced(Incarnation.of(server));
        if (notice.isLeaving() && announced.startLeaving(nowNanos)) {
            actions.add(
                    new ServingAction.ShareNews(new PeerMessage.ServerLeaving(server.id(), server.bornEpochMillis())));
            actions.add(report("server-announced-leaving", server, ""));
        }
        if (notice.pauseMillis() > 0 && announced.pauseUntil(nowNanos + notice.pauseMillis() * 1_000_000L)) {
            limitAfterPause(server, announced);
            actions.add(report("server-paused", server, " pauseMillis=" + notice.pauseMillis()));
        }
        if (!notice.invalidHeaders().isEmpty() && announced.recordInvalid(notice.invalidHeaders())) {
            actions.add(report("server-notice-invalid", server, " headers=" + notice.invalidHeaders()));
        }
        return actions;
    }

    private static ServingAction report(String event, BackendServer server, String detail) {
        return new ServingAction.Report(event, "server=" + server.id() + detail);
    }

    private void limitAfterPause(BackendServer server, Announced announced) {
        servers.find(server.id())
                .filter(view -> view.server().isSameIncarnation(server))
                .ifPresent(view ->
                        view.coldStartLimiter().markColdUntil(announced.pausedUntilNanos + RAMP_MILLIS * 1_000_000L));
    }

    /** Handles what another router saw. */
    void handle(FleetNews news, long nowNanos) {
        if (news instanceof PeerMessage.ServerLeaving leaving) {
            announced(new Incarnation(leaving.serverId(), leaving.bornEpochMillis()))
                    .startLeaving(nowNanos);
        }
    }

    private Announced announced(Incarnation incarnation) {
        Announced announced = announcedByIncarnation.computeIfAbsent(incarnation, key -> new Announced());
        if (announcedByIncarnation.size() > MAX_INCARNATIONS) {
            announcedByIncarnation.remove(
                    announcedByIncarnation.keySet().iterator().next());
        }
        return announced;
    }

    private Announced find(BackendServer server) {
        return announcedByIncarnation.isEmpty() ? null : announcedByIncarnation.get(Incarnation.of(server));
    }

    /** Returns whether {@code server} announced that it leaves. */
    boolean isLeaving(BackendServer server) {
        Announced announced = find(server);
        return announced != null && announced.isLeaving;
    }

    /** Returns whether {@code server} may have announced {@code millis} ago or earlier that it leaves. */
    boolean isLeavingFor(BackendServer server, long millis, long nowNanos) {
        Announced announced = find(server);
        return announced != null && announced.isLeaving && announced.leavingSince.mayBePast(millis, nowNanos);
    }

    /** Records that an unknown time has passed that the clock did not count. */
    void handleSuspension() {
        announcedByIncarnation.values().forEach(announced -> announced.leavingSince = EventTime.UNKNOWN);
    }

    /** Returns how much longer {@code server} wants no requests, in milliseconds; 0 when it takes them. */
    long pauseLeftMillis(BackendServer server, long nowNanos) {
        Announced announced = find(server);
        if (announced == null || !announced.isPaused || announced.pausedUntilNanos - nowNanos <= 0) {
            return 0;
        }
        return Math.max(1, (announced.pausedUntilNanos - nowNanos) / 1_000_000L);
    }

    /** What one incarnation announced. */
    private static final class Announced {
        private boolean isLeaving;
        private EventTime leavingSince = EventTime.UNKNOWN;
        private boolean isPaused;
        private long pausedUntilNanos;
        private String invalidHeaders = "";

        /** Returns whether the announcement is new. */
        private boolean startLeaving(long nowNanos) {
            boolean isNew = !isLeaving;
            if (isNew) {
                isLeaving = true;
                leavingSince = EventTime.notBefore(nowNanos);
            }
            return isNew;
        }

        /** Returns whether the pause ends later than before. */
        private boolean pauseUntil(long untilNanos) {
            boolean isLater = !isPaused || untilNanos - pausedUntilNanos > 0;
            if (isLater) {
                isPaused = true;
                pausedUntilNanos = untilNanos;
            }
            return isLater;
        }

        /** Returns whether these headers were not invalid before. */
        private boolean recordInvalid(String headers) {
            boolean isNew = !invalidHeaders.contains(headers);
            invalidHeaders = isNew ? invalidHeaders + ' ' + headers : invalidHeaders;
            return isNew;
        }
    }
}
