package org.daisyscale.router.internal.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.following.ViewVersion;
import org.junit.jupiter.api.Test;

class SentUpdateLogTest {
    private final List<String> lines = new ArrayList<>();
    private final SentUpdateLog sent = new SentUpdateLog((event, detail) -> lines.add(event + " " + detail), "op/");

    @Test
    void shouldReportEachVersionWithTheNumberOfRoutersThatGotDifferencesAndWholeViews() {
        sent.record(new ViewVersion(41, 1), "version=3", 10, 1);
        sent.record(new ViewVersion(42, 2), "version=4", 11, 0);

        assertThat(lines)
                .containsExactly(
                        "view-sent prefix=op/ version=3 differences=10 whole=1 sentAgainBefore=0",
                        "view-sent prefix=op/ version=4 differences=11 whole=0 sentAgainBefore=0");
    }

    /** Guards against a line for each router that a restarted network makes connect one after the other. */
    @Test
    void shouldCountWhatItSendsLaterOfTheSameVersionUntilTheNextOne() {
        sent.record(new ViewVersion(41, 1), "version=3", 10, 0);
        sent.record(new ViewVersion(41, 1), "version=3", 1, 1);
        sent.record(new ViewVersion(41, 1), "version=3", 0, 1);
        sent.record(new ViewVersion(42, 2), "version=4", 11, 0);
        sent.record(new ViewVersion(43, 3), "version=5", 11, 0);

        assertThat(lines)
                .containsExactly(
                        "view-sent prefix=op/ version=3 differences=10 whole=0 sentAgainBefore=0",
                        "view-sent prefix=op/ version=4 differences=11 whole=0 sentAgainBefore=3",
                        "view-sent prefix=op/ version=5 differences=11 whole=0 sentAgainBefore=0");
    }

    @Test
    void shouldReportARemovalThatLeavesTheRevisionAsItWas() {
        sent.record(new ViewVersion(41, 1), "version=3", 11, 0);

        sent.record(new ViewVersion(41, 2), "version=3", 11, 0);

        assertThat(lines).hasSize(2);
    }
}
