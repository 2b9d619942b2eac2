package org.daisyscale.core.internal.keys;

/** Generates ids for calls to servers. Not thread-safe; confined to the core thread. */
final class CallIdSequence {
    private long lastId;

    long next() {
        return ++lastId;
    }
}
