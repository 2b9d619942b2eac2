package org.daisyscale.core.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.LoadReport;
import org.junit.jupiter.api.Test;

/** Guards against routers that all fill the server whose last report is the oldest. */
class ServiceLevelTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int BUSY_COUNT = 8;

    private final ServiceLevel level = new ServiceLevel();
    private final ServerView quiet = view("s1");
    private final ServerView busy = view("s2");

    private ServerView view(String id) {
        BackendServer server = new BackendServer(id, 7, "pooled", "10.0.0.1", 80, "dc1", 3, false, 0);
        return new ServerView(server, new ColdStartLimiter(), level, 0);
    }

    /** Reports an idle server and then, three seconds later, one that a burst filled. */
    private void replayBurst() {
        quiet.recordEnded(1, AttemptOutcome.ANSWERED, new LoadReport(0, 0, 3), 0);
        for (int report = 0; report < 30; report++) {
            busy.recordEnded(2, AttemptOutcome.ANSWERED, new LoadReport(3, BUSY_COUNT - 3, 3), 3 * SECOND);
        }
    }

    @Test
    void shouldExpectABurstAlsoAtAServerThatReportedNoneLongAgo() {
        level.share(true);
        replayBurst();

        assertThat(quiet.inFlightEstimate(3 * SECOND)).isGreaterThan(BUSY_COUNT * 0.8);
    }

    @Test
    void shouldNotExpectTheLoadOfOneOwnerAtAnother() {
        level.share(false);
        replayBurst();

        assertThat(quiet.inFlightEstimate(3 * SECOND)).isZero();
    }
}
