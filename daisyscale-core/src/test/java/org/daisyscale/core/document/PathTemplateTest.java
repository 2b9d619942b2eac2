package org.daisyscale.core.document;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PathTemplateTest {

    @ParameterizedTest
    @CsvSource({
        "/slots/{key}, /slots/{id}, true",
        "/slots/free, /slots/free, true",
        "/{a}/free, /slots/{b}, true",
        "/slots/{key}, /slots/free, false",
        "/slots/{key}, /slots/{key}/days, false",
        "/slots/{key}, /carts/{key}, false"
    })
    void shouldCollideOnlyIfNeitherTemplateIsMoreSpecific(String one, String other, boolean isCollision) {
        PathTemplate first = PathTemplate.of(one);
        PathTemplate second = PathTemplate.of(other);

        assertThat(first.collidesWith(second)).isEqualTo(isCollision);
        assertThat(second.collidesWith(first)).isEqualTo(isCollision);
    }
}
