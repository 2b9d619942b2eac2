package org.daisyscale.router.internal.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class StaleViewLogTest {
    private final List<String> lines = new ArrayList<>();
    private final StaleViewLog stale = new StaleViewLog((event, detail) -> lines.add(event + " " + detail), "op/");

    @Test
    void shouldReportOnceThatAViewIsOlderThanAChangeMayBe() {
        stale.record(1_999, "revision=5");
        stale.record(2_001, "revision=5");
        stale.record(2_100, "revision=5");

        assertThat(lines).containsExactly("view-old prefix=op/ revision=5 ageMillis=2001");
    }

    @Test
    void shouldReportWhenTheViewIsCurrentAgainAndHowOldItHadBecome() {
        stale.record(2_001, "revision=5");
        stale.record(5_608, "revision=5");
        stale.record(0, "revision=106");
        stale.record(0, "revision=106");

        assertThat(lines)
                .containsExactly(
                        "view-old prefix=op/ revision=5 ageMillis=2001",
                        "view-current prefix=op/ revision=106 afterMillis=5608");
    }

    /** Guards against an age that is taken for a short one because the view became a little younger in between. */
    @Test
    void shouldWriteNoLineWhileTheViewBecomesYoungerAndIsStillStale() {
        stale.record(4_000, "revision=5");
        stale.record(2_500, "revision=6");

        assertThat(lines).hasSize(1);
    }

    @Test
    void shouldReportHowOldTheViewHadBecomeAlthoughItWasYoungerAtLast() {
        stale.record(4_000, "revision=5");
        stale.record(2_500, "revision=6");
        stale.record(10, "revision=7");

        assertThat(lines).last().isEqualTo("view-current prefix=op/ revision=7 afterMillis=4000");
    }

    @Test
    void shouldReportEachTimeThatTheViewBecomesStale() {
        stale.record(2_500, "revision=5");
        stale.record(10, "revision=6");
        stale.record(2_600, "revision=6");

        assertThat(lines).last().isEqualTo("view-old prefix=op/ revision=6 ageMillis=2600");
        assertThat(lines).hasSize(3);
    }
}
