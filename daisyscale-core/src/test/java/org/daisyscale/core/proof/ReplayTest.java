package org.daisyscale.core.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.daisyscale.core.Action;
import org.daisyscale.core.RouterCore;
import org.junit.jupiter.api.Test;

class ReplayTest {

    @Test
    void shouldDecideTheSameWhenTheSameEventsAreReplayed() {
        World world = new World(11);
        world.startRecording();
        world.start(2, 1);
        new Injector(world).inject(Fault.schedule(11));
        new Callers(world, new SplittableRandom(11)).start(500);
        world.scheduler().runUntilMillis(20_000);

        for (SimRouter router : world.liveRouters()) {
            RouterCore replayed = new RouterCore(router.settings());
            for (SimRouter.RecordedStep step : router.recordedSteps()) {
                List<Action> actions = replayed.handle(step.event(), step.now());
                assertThat(actions).isEqualTo(step.actions());
            }
        }
    }
}
