package org.daisyscale.core.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.daisyscale.core.Moment;
import org.daisyscale.core.document.KeySource;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.request.BackendOutcome;
import org.daisyscale.core.request.Permit;
import org.junit.jupiter.api.Test;

class LateBindingChooserTest {
    private static final Moment NOW = new Moment(1_000_000_000L, 1_000L);
    private static final int SLOTS = 3;

    private final ServiceTimes times = new ServiceTimes();
    private final ServerTracker first = new ServerTracker("first", SLOTS, times);
    private final ServerTracker second = new ServerTracker("second", SLOTS, times);
    private final ServerTracker third = new ServerTracker("third", SLOTS, times);
    private final LateBindingChooser chooser = new LateBindingChooser();

    @Test
    void shouldPreferAHealthyServerToAStraggler() {
        timeOut(first);

        assertThat(chooser.choose(payment(), List.of(first, second), servers(), NOW))
                .contains(second);
    }

    @Test
    void shouldLetANonIdempotentRequestWaitForAHealthyServer() {
        timeOut(first);

        assertThat(chooser.choose(payment(), List.of(first), servers(), NOW)).isEmpty();
    }

    @Test
    void shouldUseSlowServersWhenMoreThanAThirdOfTheServersAreSlow() {
        timeOut(first);
        timeOut(second);

        assertThat(chooser.choose(payment(), List.of(first), servers(), NOW)).contains(first);
    }

    private List<ServerTracker> servers() {
        return List.of(first, second, third);
    }

    private static void timeOut(ServerTracker tracker) {
        Permit permit = new Permit("order", "payments", 0, tracker.server(), "host", 1, 0, 1, 1, 1, -1);
        OutstandingPermit outstanding = new OutstandingPermit(payment(), permit, -1, NOW.nanos(), NOW.nanos());
        tracker.begin(outstanding, NOW);
        tracker.end(outstanding, BackendOutcome.TIMED_OUT, 0);
    }

    private static WaitingRequest payment() {
        RequestKind kind =
                new RequestKind("pay", "POST", "/payments", KeySource.NONE, "", false, 4_000, 3, 20, 0, 0, 1_000, null);
        PeerMessage.PermitRequest permitRequest =
                new PeerMessage.PermitRequest("r/1", "payments", "pay", 0, -1, "caller", "id", "", 1, "", false, 4_000);
        return new WaitingRequest("router", permitRequest, kind, NOW.nanos(), NOW.nanosAfterMillis(4_000));
    }
}
