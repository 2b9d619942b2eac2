package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CarriedCallsTest {
    private final CarriedCalls calls = new CarriedCalls();

    private void sendUntilFull() {
        for (int index = 0; index < CarriedCalls.MAX_CALLS; index++) {
            assertThat(calls.isFull()).isFalse();
            calls.recordSent("call-" + index);
        }
    }

    @Test
    void shouldCarryEachNameOnce() {
        assertThat(calls.mayCarry("a")).isTrue();

        calls.recordSent("a");

        assertThat(calls.mayCarry("a")).isFalse();
        assertThat(calls.mayCarry("b")).isTrue();
    }

    @Test
    void shouldCarryANameOnceWhetherItWasAnsweredOrNot() {
        calls.recordSent("a");
        calls.recordAnswered("a", 5);

        assertThat(calls.mayCarry("a")).isFalse();
    }

    @Test
    void shouldCarryNothingMoreOnceItIsFullRatherThanForgetACall() {
        sendUntilFull();

        assertThat(calls.isFull()).isTrue();
        assertThat(calls.mayCarry("another")).isFalse();
        assertThat(calls.mayCarry("call-0")).isFalse();
    }

    @Test
    void shouldKnowWhenACallWasFirstAnswered() {
        calls.recordSent("a");
        assertThat(calls.firstAnswerNanos("a")).isEmpty();

        calls.recordAnswered("a", 5);
        calls.recordAnswered("a", 9);

        assertThat(calls.firstAnswerNanos("a")).hasValue(5);
        assertThat(calls.firstAnswerNanos("b")).isEmpty();
    }
}
