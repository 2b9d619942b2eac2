package org.daisyscale.router.internal.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.following.UpdateResult;
import org.junit.jupiter.api.Test;

class SkippedUpdateLogTest {
    private final List<String> lines = new ArrayList<>();
    private final SkippedUpdateLog skipped =
            new SkippedUpdateLog((event, detail) -> lines.add(event + " " + detail), "op/");

    @Test
    void shouldWriteOneLineForEachReasonWhileTheSameStateIsHeld() {
        skipped.recordSkipped(UpdateResult.DOES_NOT_APPLY, 399, "to=403");
        skipped.recordSkipped(UpdateResult.DOES_NOT_APPLY, 399, "to=404");
        skipped.recordSkipped(UpdateResult.OLDER, 399, "to=398");
        skipped.recordSkipped(UpdateResult.OLDER, 399, "to=397");

        assertThat(lines)
                .containsExactly(
                        "view-update-skipped prefix=op/ to=403 reason=does-not-apply skippedBefore=0",
                        "view-update-skipped prefix=op/ to=398 reason=older skippedBefore=1");
    }

    @Test
    void shouldWriteALineAgainOnceAnotherStateIsHeld() {
        skipped.recordSkipped(UpdateResult.DOES_NOT_APPLY, 399, "to=403");

        skipped.recordSkipped(UpdateResult.DOES_NOT_APPLY, 405, "to=408");

        assertThat(lines)
                .last()
                .isEqualTo("view-update-skipped prefix=op/ to=408 reason=does-not-apply skippedBefore=0");
    }

    @Test
    void shouldCountWhatHadNoLineOnceThisRouterHasCaughtUp() {
        skipped.recordSkipped(UpdateResult.DOES_NOT_APPLY, 399, "to=403");
        skipped.recordSkipped(UpdateResult.DOES_NOT_APPLY, 399, "to=404");
        skipped.recordSkipped(UpdateResult.DOES_NOT_APPLY, 399, "to=405");

        skipped.recordCaughtUp("version=405");
        skipped.recordCaughtUp("version=405");

        assertThat(lines)
                .containsExactly(
                        "view-update-skipped prefix=op/ to=403 reason=does-not-apply skippedBefore=0",
                        "view-caught-up prefix=op/ version=405 skippedBefore=2");
    }
}
