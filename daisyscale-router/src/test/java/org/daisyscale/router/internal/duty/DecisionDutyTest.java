package org.daisyscale.router.internal.duty;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.daisyscale.core.Action;
import org.daisyscale.core.DecisionCore;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.router.internal.error.ShellException;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.junit.jupiter.api.Test;

class DecisionDutyTest {
    private final Ring<Event> events = new ArrayRing<>("events", 10);
    private final AtomicLong nanos = new AtomicLong();
    private final List<Event> handled = new ArrayList<>();
    private final List<Event> failed = new ArrayList<>();

    @Test
    void shouldDeliverDueTimeEventsBetweenOtherEventsUnderSteadyLoad() throws InterruptedException {
        DecisionDuty duty = duty(new FakeCore(100, event -> List.of()), router());
        events.offer(new Event.CallerGone("one"));
        events.offer(new Event.CallerGone("two"));

        duty.runStep();
        nanos.set(100);
        duty.runStep();

        assertThat(handled)
                .containsExactly(new Event.CallerGone("one"), new Event.CallerGone("two"), new Event.TimePassed());
    }

    @Test
    void shouldReportToTheCoreImmediatelyWhatAFullRingRejected() throws InterruptedException {
        Event rejected = new Event.ProbeFailed("server", 0);
        ActionRouter router = builder()
                .on(Action.ProbeServer.class, probe -> List.of(rejected))
                .build();
        DecisionDuty duty = duty(new FakeCore(Long.MAX_VALUE, DecisionDutyTest::probeWhenGone), router);
        events.offer(new Event.CallerGone("one"));

        duty.runStep();

        assertThat(handled).containsExactly(new Event.CallerGone("one"), rejected);
    }

    private static List<Action> probeWhenGone(Event event) {
        return event instanceof Event.CallerGone
                ? List.of(new Action.ProbeServer("server", "127.0.0.1", 1))
                : List.of();
    }

    @Test
    void shouldContinueAfterTheCoreThrew() throws InterruptedException {
        DecisionDuty duty = duty(
                new FakeCore(Long.MAX_VALUE, event -> {
                    throw new IllegalStateException("bad event");
                }),
                router());
        events.offer(new Event.CallerGone("one"));

        duty.runStep();

        assertThat(failed).containsExactly(new Event.CallerGone("one"));
    }

    @Test
    void shouldNameTheActionsWithoutAHandler() {
        ActionRouter.Builder builder = ActionRouter.builder().onWithoutFollowUps(Action.StopNow.class, action -> {});

        assertThatThrownBy(builder::build)
                .isInstanceOf(ShellException.class)
                .hasMessageContaining("SendOrder")
                .hasMessageContaining("DSC-2004");
    }

    private DecisionDuty duty(DecisionCore core, ActionRouter router) {
        return new DecisionDuty(
                core, events, router, () -> new Moment(nanos.get(), 0), new RecordingObserver(), () -> true);
    }

    private static ActionRouter router() {
        return builder().build();
    }

    private static ActionRouter.Builder builder() {
        ActionRouter.Builder builder = ActionRouter.builder();
        Arrays.stream(Action.class.getPermittedSubclasses())
                .forEach(kind -> builder.onWithoutFollowUps(kind.asSubclass(Action.class), action -> {}));
        return builder;
    }

    private final class FakeCore implements DecisionCore {
        private final long dueNanos;
        private final Function<Event, List<Action>> script;

        private FakeCore(long dueNanos, Function<Event, List<Action>> script) {
            this.dueNanos = dueNanos;
            this.script = script;
        }

        @Override
        public List<Action> handle(Event event, Moment now) {
            List<Action> actions = script.apply(event);
            handled.add(event);
            return actions;
        }

        @Override
        public long nextDueNanos() {
            return dueNanos;
        }
    }

    private final class RecordingObserver implements DecisionObserver {

        @Override
        public void decided(Event event, Moment moment, List<Action> actions, long durationNanos) {}

        @Override
        public void failed(Event event, RuntimeException failure) {
            failed.add(event);
        }
    }
}
