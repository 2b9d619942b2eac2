package org.daisyscale.testkit.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.daisyscale.core.Moment;
import org.daisyscale.core.ownership.Grant;
import org.daisyscale.core.ownership.GrantedSlice;
import org.junit.jupiter.api.Test;

class BackendStateTest {
    private static final BackendSettings SETTINGS = BackendSettings.plain("server", 2, 10);

    private final BackendState state = new BackendState(SETTINGS, at(0));

    @Test
    void shouldRunAnOrderUnderAGrant() {
        grant(state, 1, 1_000);

        assertThat(state.order(order(50, 7), at(999))).isInstanceOf(Verdict.Run.class);
    }

    @Test
    void shouldRefuseAnOrderWhoseGrantHasExpired() {
        grant(state, 1, 1_000);

        Verdict verdict = state.order(order(50, 7), at(1_000));

        assertThat(verdict).isEqualTo(new Verdict.Refuse(Verdict.Refusal.NOT_OWNER));
    }

    @Test
    void shouldEndWorkThatOutlastsItsGrantWithTheGrant() {
        grant(state, 1, 1_000);
        state.order(order(50, 7), at(995));

        List<BackendState.Ended> ended = state.endDue(at(6_000));

        assertThat(ended).singleElement().satisfies(end -> {
            assertThat(end.record().outcome()).isEqualTo(RunOutcome.FAILED);
            assertThat(end.record().endMillis()).isEqualTo(1_000);
        });
    }

    @Test
    void shouldRefuseAnOrderOfAnOldEpoch() {
        grant(state, 1, 1_000);

        Verdict verdict = state.order(order(50, 6), at(1));

        assertThat(verdict).isEqualTo(new Verdict.Refuse(Verdict.Refusal.NOT_OWNER));
    }

    @Test
    void shouldRefuseAGrantOfAnOlderMap() {
        grant(state, 2, 1_000);

        assertThat(grant(state, 1, 2_000)).isFalse();
        assertThat(state.order(order(50, 7), at(1_500))).isInstanceOf(Verdict.Refuse.class);
    }

    @Test
    void shouldShedWhatGoesOverItsSlots() {
        state.order(order(-1, -1), at(0));
        state.order(order(-1, -1), at(0));

        Verdict third = state.order(order(-1, -1), at(0));

        assertThat(third).isEqualTo(new Verdict.Refuse(Verdict.Refusal.SHED));
        assertThat(state.endDue(at(10))).hasSize(2);
        assertThat(state.order(order(-1, -1), at(10))).isInstanceOf(Verdict.Run.class);
    }

    @Test
    void shouldFallOverWhenOverloadedWhileCold() {
        BackendState cold = new BackendState(SETTINGS.withCold(new ColdSettings(10, 1, 5, 100)), at(0));
        String incarnation = cold.incarnation();
        cold.order(order(-1, -1), at(0));

        Verdict second = cold.order(order(-1, -1), at(1));
        List<BackendState.Ended> ended = cold.endDue(at(1));
        Verdict whileDown = cold.order(order(-1, -1), at(99));
        cold.endDue(at(101));

        assertThat(second).isInstanceOf(Verdict.Broken.class);
        assertThat(ended).extracting(end -> end.record().outcome()).containsExactly(RunOutcome.FAILED);
        assertThat(whileDown).isInstanceOf(Verdict.Broken.class);
        assertThat(cold.incarnation()).isNotEqualTo(incarnation);
        assertThat(cold.order(order(-1, -1), at(102))).isInstanceOf(Verdict.Run.class);
    }

    private static boolean grant(BackendState state, long mapVersion, long expiresAtServerMillis) {
        var slices = List.of(new GrantedSlice(0, 100, 7));
        return state.grant(new Grant("server", state.incarnation(), mapVersion, expiresAtServerMillis, slices));
    }

    private static Order order(long keyHash, long epoch) {
        return new Order("order", "id", "GET", "/slots/k1", keyHash, epoch, 0, 0, "");
    }

    private static Moment at(long millis) {
        return new Moment(millis * 1_000_000, millis);
    }
}
