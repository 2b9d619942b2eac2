package org.daisyscale.core.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.daisyscale.core.Moment;
import org.daisyscale.core.document.KeySource;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.request.BackendOutcome;
import org.daisyscale.core.request.Permit;
import org.junit.jupiter.api.Test;

class ServerTrackerTest {
    private static final Moment NOW = new Moment(1_000_000_000L, 1_000L);
    private static final long MEAN_MICROS = 20_000;

    private final ServiceTimes times = new ServiceTimes();
    private final ServerTracker tracker = new ServerTracker("server", 3, times);

    @Test
    void shouldNotClassifyAServerAsAStragglerWhenAHedgeWonOnce() {
        times.add("lookup", MEAN_MICROS);

        timeOut(4 * MEAN_MICROS);

        assertThat(tracker.isStraggling(NOW)).isFalse();
    }

    @Test
    void shouldClassifyAServerAsAStragglerWhenAnOrderRanToItsDeadline() {
        times.add("lookup", MEAN_MICROS);

        timeOut(50 * MEAN_MICROS);

        assertThat(tracker.isStraggling(NOW)).isTrue();
    }

    @Test
    void shouldClassifyAServerAsAStragglerWhenAnOrderTimedOutWithoutAMeasuredDuration() {
        timeOut(0);

        assertThat(tracker.isStraggling(NOW)).isTrue();
    }

    private void timeOut(long ranMicros) {
        Permit permit = new Permit("order", "slots", 0, "server", "host", 1, 0, 1, 1, 1, -1);
        RequestKind kind =
                new RequestKind("lookup", "GET", "/slots", KeySource.NONE, "", true, 1_000, 3, 10, 95, 0, 1_000, null);
        PeerMessage.PermitRequest permitRequest =
                new PeerMessage.PermitRequest("r/1", "slots", "lookup", 0, -1, "caller", "", "", 1, "", false, 1_000);
        WaitingRequest request =
                new WaitingRequest("router", permitRequest, kind, NOW.nanos(), NOW.nanosAfterMillis(1_000));
        OutstandingPermit outstanding = new OutstandingPermit(request, permit, -1, NOW.nanos(), NOW.nanos());
        tracker.begin(outstanding, NOW);
        tracker.end(outstanding, BackendOutcome.TIMED_OUT, ranMicros);
    }
}
