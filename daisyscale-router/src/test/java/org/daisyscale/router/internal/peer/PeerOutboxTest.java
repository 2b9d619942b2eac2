package org.daisyscale.router.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.following.ViewUpdate;
import org.daisyscale.core.following.ViewVersion;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.peer.PeerMessage.PermitCancelled;
import org.daisyscale.core.peer.PeerMessage.Ping;
import org.daisyscale.core.peer.PeerMessage.RangeReport;
import org.daisyscale.core.peer.PeerMessage.ViewHeld;
import org.daisyscale.core.peer.PeerMessage.ViewReport;
import org.daisyscale.core.peer.PeerMessage.ViewUpdated;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyMapChange;
import org.junit.jupiter.api.Test;

class PeerOutboxTest {
    private static final KeyAssignment.Owner OWNER = new KeyAssignment.Owner("s1", 1, "10.0.0.1", 80);

    @Test
    void shouldKeepOnlyTheNewestPing() {
        PeerOutbox outbox = openOutbox();

        outbox.offer(new Ping(1, 0, 0));
        outbox.offer(new Ping(2, 0, 0));

        assertThat(pollAll(outbox)).containsExactly(new Ping(2, 0, 0));
    }

    @Test
    void shouldKeepTheNewestReportOfEachRange() {
        PeerOutbox outbox = openOutbox();
        RangeReport first = new RangeReport("lookup", 0, List.of(), List.of());
        RangeReport second = new RangeReport("lookup", 1, List.of(), List.of());

        outbox.offer(first);
        outbox.offer(second);

        assertThat(pollAll(outbox)).containsExactly(first, second);
    }

    /** Guards against routers that miss a move of keys because a later one replaced it on a slow link. */
    @Test
    void shouldJoinChangesOfAKeyMapThatFollowEachOther() {
        PeerOutbox outbox = openOutbox();
        KeyAssignment first = KeyAssignment.first(0, 9, OWNER, 1);
        KeyAssignment second = KeyAssignment.first(10, 19, OWNER, 2);

        outbox.offer(new PeerMessage.KeyMapChanged(new KeyMapChange("stock", 1, 0, 2, 0, 9, List.of(first))));
        outbox.offer(new PeerMessage.KeyMapChanged(new KeyMapChange("stock", 2, 0, 3, 0, 9, List.of(second))));

        assertThat(pollAll(outbox))
                .containsExactly(new PeerMessage.KeyMapChanged(
                        new KeyMapChange("stock", 1, 0, 3, 0, 9, List.of(first, second))));
    }

    private static ViewUpdated update(String prefix, long revision, Set<String> removedKeys) {
        Item item = new Item(prefix + "a", new byte[0], revision);
        ViewVersion version = new ViewVersion(revision, revision);
        return new ViewUpdated(new ViewUpdate(prefix, version, false, List.of(item), removedKeys, List.of()));
    }

    /** Guards against updates that fill the memory of the controller because a link to a follower is slow. */
    @Test
    void shouldKeepOnlyTheNewestUpdateOfEachPrefix() {
        PeerOutbox outbox = openOutbox();
        ViewUpdated newestOfServers = update("servers/", 7, Set.of("servers/b"));
        ViewUpdated ofRouters = update("routers/", 5, Set.of());

        outbox.offer(update("servers/", 5, Set.of()));
        outbox.offer(ofRouters);
        outbox.offer(newestOfServers);

        assertThat(pollAll(outbox)).containsExactlyInAnyOrder(newestOfServers, ofRouters);
    }

    /** Guards against an update that seems to lead from something else because it was joined with the one before. */
    @Test
    void shouldSendTheNewestUpdateUnchanged() {
        PeerOutbox outbox = openOutbox();
        ViewUpdated newest = update("servers/", 7, Set.of("servers/b"));

        outbox.offer(update("servers/", 5, Set.of("servers/c")));
        outbox.offer(newest);

        assertThat(pollAll(outbox)).containsExactly(newest);
    }

    @Test
    void shouldKeepOnlyTheNewestReportOfEachPrefix() {
        PeerOutbox outbox = openOutbox();
        ViewReport newestOfServers = new ViewReport("servers/", new ViewVersion(7, 70), 0);
        ViewReport ofRouters = new ViewReport("routers/", new ViewVersion(5, 50), 0);

        outbox.offer(new ViewReport("servers/", new ViewVersion(5, 50), 0));
        outbox.offer(ofRouters);
        outbox.offer(newestOfServers);

        assertThat(pollAll(outbox)).containsExactlyInAnyOrder(newestOfServers, ofRouters);
    }

    @Test
    void shouldKeepOnlyWhatIsHeldNowOfEachPrefix() {
        PeerOutbox outbox = openOutbox();
        ViewHeld newestOfServers = new ViewHeld("servers/", new ViewVersion(7, 70), true);
        ViewHeld ofRouters = new ViewHeld("routers/", new ViewVersion(5, 50), false);

        outbox.offer(new ViewHeld("servers/", new ViewVersion(5, 50), false));
        outbox.offer(ofRouters);
        outbox.offer(newestOfServers);

        assertThat(pollAll(outbox)).containsExactlyInAnyOrder(newestOfServers, ofRouters);
    }

    /** Guards against a report that replaces an older one and keeps an update behind it from being sent. */
    @Test
    void shouldSendAnUpdateAlthoughItsReportTakesThePlaceOfAnOlderReportBeforeIt() {
        PeerOutbox outbox = openOutbox();
        ViewUpdated update = update("servers/", 7, Set.of("servers/b"));
        ViewReport newest = new ViewReport("servers/", new ViewVersion(7, 70), 0);

        outbox.offer(new ViewReport("servers/", new ViewVersion(5, 50), 0));
        outbox.offer(update);
        outbox.offer(newest);

        assertThat(pollAll(outbox)).containsExactlyInAnyOrder(update, newest);
    }

    /** Guards against state that is refused because of the messages that must not be lost. */
    @Test
    void shouldAcceptStateAboutViewsWhileOtherMessagesReachTheLimit() {
        PeerOutbox outbox = openOutbox();
        outbox.offer(new PermitCancelled("a"));
        outbox.offer(new PermitCancelled("b"));

        PeerOutbox.OfferResult result = outbox.offer(update("servers/", 5, Set.of()));

        assertThat(result).isEqualTo(PeerOutbox.OfferResult.ACCEPTED);
    }

    @Test
    void shouldRejectAPermitMessageOverTheLimitAndKeepTheOthers() {
        PeerOutbox outbox = openOutbox();
        outbox.offer(new PermitCancelled("a"));
        outbox.offer(new PermitCancelled("b"));

        PeerOutbox.OfferResult result = outbox.offer(new PermitCancelled("c"));

        assertThat(result).isEqualTo(PeerOutbox.OfferResult.FULL);
        assertThat(pollAll(outbox)).containsExactly(new PermitCancelled("a"), new PermitCancelled("b"));
    }

    @Test
    void shouldAcceptAMessageAgainAfterOneIsPolled() {
        PeerOutbox outbox = openOutbox();
        outbox.offer(new PermitCancelled("a"));
        outbox.offer(new PermitCancelled("b"));
        outbox.poll();

        PeerOutbox.OfferResult result = outbox.offer(new PermitCancelled("c"));

        assertThat(result).isEqualTo(PeerOutbox.OfferResult.ACCEPTED);
    }

    @Test
    void shouldHoldNothingWhileClosed() {
        PeerOutbox outbox = openOutbox();
        outbox.offer(new PermitCancelled("a"));
        outbox.close();

        PeerOutbox.OfferResult result = outbox.offer(new PermitCancelled("b"));

        assertThat(result).isEqualTo(PeerOutbox.OfferResult.CLOSED);
        assertThat(outbox.poll()).isEmpty();
    }

    private static PeerOutbox openOutbox() {
        PeerOutbox outbox = new PeerOutbox(2);
        outbox.open();
        return outbox;
    }

    private static List<PeerMessage> pollAll(PeerOutbox outbox) {
        List<PeerMessage> messages = new ArrayList<>();
        for (Optional<PeerMessage> next = outbox.poll(); next.isPresent(); next = outbox.poll()) {
            messages.add(next.get());
        }
        return messages;
    }
}
