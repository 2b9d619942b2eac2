package org.daisyscale.router.internal.log;

/** Receives log lines that start with a stable event name. Implementations are thread-safe. */
@FunctionalInterface
public interface EventReporter {

    /**
     * Reports {@code event}.
     *
     * @param event the stable name of the event
     * @param detail the circumstances
     */
    void report(String event, String detail);
}
