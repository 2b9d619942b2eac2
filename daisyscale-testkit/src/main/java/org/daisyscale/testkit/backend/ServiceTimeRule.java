package org.daisyscale.testkit.backend;

import org.daisyscale.testkit.error.TestkitErrorCode;
import org.daisyscale.testkit.error.TestkitException;

/**
 * The service time of the paths that begin with a prefix. Immutable.
 *
 * @param pathPrefix the prefix
 * @param serviceTime the time
 */
public record ServiceTimeRule(String pathPrefix, ServiceTime serviceTime) {

    /** The rule that {@code text} names, such as {@code /slots=5:exponential}. */
    public static ServiceTimeRule parse(String text) {
        int equals = text.indexOf('=');
        if (equals < 0) {
            throw new TestkitException(TestkitErrorCode.BAD_SETTING, "service time rule " + text);
        }
        return new ServiceTimeRule(text.substring(0, equals), ServiceTime.parse(text.substring(equals + 1)));
    }
}
