package org.daisyscale.router.internal.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import org.daisyscale.core.request.BackendOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ratpack.http.Headers;
import ratpack.http.internal.NettyHeadersBackedHeaders;

class UnnamedRefusalTest {
    private static Headers headers(String... namesAndValues) {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        for (int index = 0; index < namesAndValues.length; index += 2) {
            headers.add(namesAndValues[index], namesAndValues[index + 1]);
        }
        return new NettyHeadersBackedHeaders(headers);
    }

    @ParameterizedTest
    @ValueSource(strings = {"not-owner", "shed", "draining", "expired"})
    void shouldNotBelieveARefusalThatDoesNotNameItsOrder(String refusal) {
        BackendOutcome outcome = OutcomeClassifier.ofHeaders(headers("Daisyscale-Not-Run", refusal), "order-1");

        assertThat(outcome).isEqualTo(BackendOutcome.WRONG_ANSWER);
    }

    /** Guards against the success of an earlier order that passes for that of the order in flight. */
    @Test
    void shouldNotBelieveAnAnswerThatDoesNotNameItsOrder() {
        assertThat(OutcomeClassifier.ofHeaders(headers(), "order-1")).isEqualTo(BackendOutcome.WRONG_ANSWER);
    }

    @Test
    void shouldBelieveARefusalThatNamesItsOrder() {
        Headers headers = headers("Daisyscale-Not-Run", "shed", "Daisyscale-Order-Id", "order-1");

        assertThat(OutcomeClassifier.ofHeaders(headers, "order-1")).isEqualTo(BackendOutcome.SHED);
    }
}
