package org.daisyscale.router.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.peer.PeerMessage.PermitCancelled;
import org.daisyscale.core.peer.PeerMessage.Ping;
import org.daisyscale.core.peer.PeerMessage.RangeReport;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.PrefixChange;
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

    @Test
    void shouldJoinChangesUnderAPrefixThatFollowEachOther() {
        PeerOutbox outbox = openOutbox();
        CoordinationStore.Item item = new CoordinationStore.Item("servers/a", new byte[0], 5);

        outbox.offer(
                new PeerMessage.PrefixChanged(new PrefixChange("servers/", 3, 5, List.of(item), Set.of("servers/b"))));
        outbox.offer(new PeerMessage.PrefixChanged(new PrefixChange("servers/", 5, 7, List.of(), Set.of("servers/a"))));

        assertThat(pollAll(outbox))
                .containsExactly(new PeerMessage.PrefixChanged(
                        new PrefixChange("servers/", 3, 7, List.of(), Set.of("servers/a", "servers/b"))));
    }

    /** Guards against a gap between two changes that no router can notice because they became one. */
    @Test
    void shouldNotJoinChangesUnderAPrefixThatDoNotFollowEachOther() {
        PeerOutbox outbox = openOutbox();
        CoordinationStore.Item item = new CoordinationStore.Item("servers/a", new byte[0], 5);
        PeerMessage second =
                new PeerMessage.PrefixChanged(new PrefixChange("servers/", 6, 7, List.of(), Set.of("servers/b")));

        outbox.offer(new PeerMessage.PrefixChanged(new PrefixChange("servers/", 3, 5, List.of(item), Set.of())));
        outbox.offer(second);

        assertThat(pollAll(outbox)).containsExactly(second);
    }

    /** Guards against progress that replaces older progress and keeps a change behind it from being sent. */
    @Test
    void shouldSendAChangeAlthoughItsProgressTakesThePlaceOfOlderProgressBeforeIt() {
        PeerOutbox outbox = openOutbox();
        PeerMessage change =
                new PeerMessage.PrefixChanged(new PrefixChange("servers/", 5, 7, List.of(), Set.of("servers/a")));

        outbox.offer(new PeerMessage.StoreProgress("servers/", 5));
        outbox.offer(change);
        outbox.offer(new PeerMessage.StoreProgress("servers/", 7));

        assertThat(pollAll(outbox)).containsExactlyInAnyOrder(change, new PeerMessage.StoreProgress("servers/", 7));
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
