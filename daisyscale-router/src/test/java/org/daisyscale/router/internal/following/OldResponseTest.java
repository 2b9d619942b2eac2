package org.daisyscale.router.internal.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.daisyscale.core.following.ItemView;
import org.daisyscale.core.following.ViewFollower;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.junit.jupiter.api.Test;

/** Guards against routers that count as current because the controller got a response that was on its way for long. */
class OldResponseTest {
    private static final long MILLIS = 1_000_000L;
    private static final String PREFIX = "servers/";

    private final List<PeerMessage> reports = new ArrayList<>();
    private final QueueRing events = new QueueRing();
    private final ItemView view = new ItemView(PREFIX, new RemovalListener());
    private long nowNanos = 77 * MILLIS;
    private long readNumber;
    private final FollowDuty duty = new FollowDuty(
            PREFIX,
            view,
            new ViewFollower(new SplittableRandom(1), 200, false, nowNanos),
            events,
            (number, request) -> readNumber = number,
            new ControllerPeers(),
            new FollowReports((event, detail) -> {}, result -> {}, nanos -> {}),
            () -> nowNanos);

    private void awaitRead() throws InterruptedException {
        long previousNumber = readNumber;
        for (int count = 0; readNumber == previousNumber && count < 100; count++) {
            duty.runStep();
            nowNanos += 10 * MILLIS;
        }
        assertThat(readNumber).isGreaterThan(previousNumber);
    }

    private void respondAfter(long millis, FollowEvent response) throws InterruptedException {
        nowNanos += millis * MILLIS;
        events.offer(response);
        duty.runStep();
    }

    private PeerMessage.ViewReport lastReport() {
        return (PeerMessage.ViewReport) reports.get(reports.size() - 1);
    }

    @Test
    void shouldReportAListingThatTookLongAsOldAsItsCall() throws InterruptedException {
        awaitRead();

        respondAfter(8_000, new FollowEvent.Listed(readNumber, new Listing(List.of(), 10)));

        assertThat(lastReport().ageMillis()).isGreaterThanOrEqualTo(8_000);
    }

    @Test
    void shouldReportTheNextResponseAsNewAfterOneThatTookLong() throws InterruptedException {
        awaitRead();
        respondAfter(8_000, new FollowEvent.Listed(readNumber, new Listing(List.of(), 10)));
        awaitRead();

        respondAfter(5, new FollowEvent.Watched(readNumber, Optional.of(new Changes(List.of(), 10))));

        assertThat(lastReport()).isEqualTo(new PeerMessage.ViewReport(PREFIX, view.version(), 0));
    }

    /** A controller with other routers that hear its reports. */
    private final class ControllerPeers implements FollowPeers {
        @Override
        public boolean isController() {
            return true;
        }

        @Override
        public int broadcast(PeerMessage message) {
            reports.add(message);
            return 1;
        }

        @Override
        public void send(String routerId, PeerMessage message) {
            // No router has said what it holds.
        }
    }
}
