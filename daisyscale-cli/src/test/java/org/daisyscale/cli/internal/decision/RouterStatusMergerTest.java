package org.daisyscale.cli.internal.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.daisyscale.core.status.RouterStatus;
import org.daisyscale.core.status.ServerSummary;
import org.junit.jupiter.api.Test;

class RouterStatusMergerTest {

    @Test
    void shouldTakeStatesFromTheControllerAndSumTheOrdersOfAllRouters() {
        RouterStatus other = status("r1", false, server(false, 2));
        RouterStatus controller = status("r2", true, server(true, 1));

        RouterStatus merged = RouterStatusMerger.merge(List.of(other, controller));

        assertThat(merged.router()).isEqualTo("r2");
        assertThat(merged.servers()).containsExactly(server(true, 3));
    }

    @Test
    void shouldDetectWhetherTheControllerAnswered() {
        assertThat(RouterStatusMerger.hasController(List.of(status("r1", false, server(false, 0)))))
                .isFalse();
        assertThat(RouterStatusMerger.hasController(List.of(status("r1", true, server(true, 0)))))
                .isTrue();
    }

    private static ServerSummary server(boolean isReachable, int runningCount) {
        return new ServerSummary("vm-1", "slots", "dc1", isReachable, false, false, 3, runningCount);
    }

    private static RouterStatus status(String router, boolean isController, ServerSummary server) {
        return new RouterStatus(
                router,
                "dc1",
                true,
                false,
                isController,
                true,
                true,
                4,
                1,
                0,
                List.of(),
                List.of(server),
                List.of(),
                List.of());
    }
}
