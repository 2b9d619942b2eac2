package org.daisyscale.testkit.platform;

/** One operation of a transaction. Implementations are immutable. */
sealed interface Operation {

    /** Writes a value. */
    record Put(String key, String valueBase64, long leaseId) implements Operation {}

    /** Reads the keys of a range. */
    record Range(KeyRange range) implements Operation {}

    /** Deletes the keys of a range. */
    record DeleteRange(KeyRange range) implements Operation {}
}
