package org.daisyscale.router.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.peer.PeerMessage.PermitCancelled;
import org.daisyscale.core.peer.PeerMessage.Ping;
import org.daisyscale.core.peer.PeerMessage.RangeReport;
import org.junit.jupiter.api.Test;

class PeerOutboxTest {

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
