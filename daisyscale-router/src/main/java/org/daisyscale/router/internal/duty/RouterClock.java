package org.daisyscale.router.internal.duty;

import org.daisyscale.core.Moment;

/** Reads the monotonic clock and the wall clock of this VM. Implementations are thread-safe. */
@FunctionalInterface
public interface RouterClock {

    /** Returns the current moment; its monotonic part never decreases. */
    Moment now();

    /** Returns a clock that reads the JVM's clocks. */
    static RouterClock system() {
        return () -> new Moment(System.nanoTime(), System.currentTimeMillis());
    }
}
