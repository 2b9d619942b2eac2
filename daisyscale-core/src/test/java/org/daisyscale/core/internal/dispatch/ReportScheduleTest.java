package org.daisyscale.core.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.daisyscale.core.internal.ownership.ServerClock;
import org.daisyscale.core.internal.ownership.ServerState;
import org.daisyscale.core.membership.ServerStatus;
import org.daisyscale.core.ownership.SliceAssignment;
import org.junit.jupiter.api.Test;

class ReportScheduleTest {
    private static final String SERVER = "server-1";

    private final ReportSchedule schedule = new ReportSchedule();

    @Test
    void shouldReportAnUnchangedServerOncePerRefresh() {
        schedule.isDue(SERVER, state(false), true, List.of());

        int dueCount = dueRounds(false, true);

        assertThat(dueCount).isEqualTo(1);
    }

    @Test
    void shouldReportAnUnreachableServerInEveryRound() {
        int dueCount = dueRounds(false, false);

        assertThat(dueCount).isEqualTo(ReportSchedule.REFRESH_ROUNDS);
    }

    @Test
    void shouldReportADrainingServerInEveryRound() {
        int dueCount = dueRounds(true, true);

        assertThat(dueCount).isEqualTo(ReportSchedule.REFRESH_ROUNDS);
    }

    @Test
    void shouldReportAServerAtOnceWhenItsSlicesChange() {
        schedule.isDue(SERVER, state(false), true, List.of());
        SliceAssignment slice = new SliceAssignment("lookup", 0, 1, SERVER, 2, "");

        boolean isDue = schedule.isDue(SERVER, state(false), true, List.of(slice));

        assertThat(isDue).isTrue();
    }

    @Test
    void shouldReportEveryServerToANewController() {
        schedule.isDue(SERVER, state(false), true, List.of());

        schedule.reset();

        assertThat(schedule.isDue(SERVER, state(false), true, List.of())).isTrue();
    }

    private int dueRounds(boolean isDraining, boolean isReachable) {
        int dueCount = 0;
        for (int round = 0; round < ReportSchedule.REFRESH_ROUNDS; round++) {
            schedule.nextRound();
            dueCount += schedule.isDue(SERVER, state(isDraining), isReachable, List.of()) ? 1 : 0;
        }
        return dueCount;
    }

    private static ServerState state(boolean isDraining) {
        ServerStatus status = new ServerStatus("life-1", 1_000, isDraining, 0, 0, 0);
        return new ServerState(status, new ServerClock(0, 0), 0, 0, 0, 0);
    }
}
