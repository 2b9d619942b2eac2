package org.daisyscale.testkit.platform;

import java.util.function.ToLongFunction;

/**
 * One condition of a transaction. Immutable.
 *
 * @param key the key that it looks at
 * @param target what it compares
 * @param result how it compares
 * @param expected the number on the right side
 */
record Compare(String key, Target target, Result result, long expected) {

    boolean holds(KeyValue current) {
        int order = Long.compare(target.of.applyAsLong(current), expected);
        return switch (result) {
            case EQUAL -> order == 0;
            case NOT_EQUAL -> order != 0;
            case GREATER -> order > 0;
            case LESS -> order < 0;
        };
    }

    /** What a condition compares. */
    enum Target {
        VERSION(KeyValue::version),
        CREATE(KeyValue::createRevision),
        MOD(KeyValue::modRevision);

        private final ToLongFunction<KeyValue> of;

        Target(ToLongFunction<KeyValue> of) {
            this.of = of;
        }
    }

    /** How a condition compares. */
    enum Result {
        EQUAL,
        GREATER,
        LESS,
        NOT_EQUAL
    }
}
