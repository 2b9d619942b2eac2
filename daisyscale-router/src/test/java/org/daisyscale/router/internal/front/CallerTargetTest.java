package org.daisyscale.router.internal.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CallerTargetTest {

    @Test
    void shouldSplitOffTheJobNameAndKeepTheRestAsSent() {
        CallerTarget target = CallerTarget.parse("/job/a%2Fb/c?x=1&y=%20").orElseThrow();

        assertThat(target).isEqualTo(new CallerTarget("job", "/a%2Fb/c", "x=1&y=%20"));
    }

    @Test
    void shouldParseAJobNameAloneAsTheRootPath() {
        CallerTarget target = CallerTarget.parse("/job").orElseThrow();

        assertThat(target).isEqualTo(new CallerTarget("job", "/", ""));
    }

    @ParameterizedTest
    @ValueSource(strings = {"*", "/", "//path", "http://other/job/x", "/job/{x}", "/job/%zz", "/job/x#part"})
    void shouldRejectAMalformedTarget(String rawUri) {
        assertThat(CallerTarget.parse(rawUri)).isEmpty();
    }
}
