package org.daisyscale.router.internal.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.following.ReadRequest.Reason;
import org.junit.jupiter.api.Test;

class ViewSourceLogTest {
    private final List<String> lines = new ArrayList<>();
    private long nowNanos = 7;
    private final ViewSourceLog source =
            new ViewSourceLog((event, detail) -> lines.add(event + " " + detail), "op/", () -> nowNanos);

    private void advance(long millis) {
        nowNanos += millis * 1_000_000L;
    }

    @Test
    void shouldReportEachSwitchWithItsReasonAndHowLongTheEarlierStateLasted() {
        source.recordStore(Reason.NOT_LISTED, 0);
        advance(40);
        source.recordController(390);
        advance(18_000);
        source.recordStore(Reason.CONTROLLER_SILENT, 391);

        assertThat(lines)
                .containsExactly(
                        "view-source-changed prefix=op/ source=store reason=not-listed revision=0 before=none"
                                + " beforeMillis=0",
                        "view-source-changed prefix=op/ source=controller reason=controller-confirms revision=390"
                                + " before=store beforeMillis=40",
                        "view-source-changed prefix=op/ source=store reason=controller-silent revision=391"
                                + " before=controller beforeMillis=18000");
    }

    @Test
    void shouldWriteNoLineWhileNothingSwitches() {
        source.recordStore(Reason.CONTROLLER_AHEAD, 5);
        source.recordStore(Reason.NOT_LISTED, 5);
        source.recordStore(Reason.CONTROLLER_SILENT, 6);
        source.recordController(7);
        source.recordController(8);

        assertThat(lines).hasSize(2);
    }

    @Test
    void shouldReportThatTheStoreFailedOnceAndNotForEachRetry() {
        source.recordStore(Reason.CONTROLLER_SILENT, 5);
        source.recordStore(Reason.STORE_FAILED, 5);
        source.recordStore(Reason.NOT_LISTED, 5);
        source.recordStore(Reason.STORE_FAILED, 5);

        assertThat(lines).hasSize(2);
        assertThat(lines).last().asString().contains(" source=store reason=store-failed ", " before=store ");
    }

    @Test
    void shouldReportAFailureOfTheStoreAgainAfterTheControllerWasFollowed() {
        source.recordStore(Reason.STORE_FAILED, 5);
        source.recordController(6);
        source.recordStore(Reason.CONTROLLER_SILENT, 6);
        source.recordStore(Reason.STORE_FAILED, 6);

        assertThat(lines).hasSize(4);
    }
}
