package org.daisyscale.testkit.backend;

import java.util.List;

/**
 * A server's records and counters. Immutable.
 *
 * @param server the server
 * @param incarnation its incarnation now
 * @param counters what it counted
 * @param records its newest runs
 */
public record RecordsAnswer(String server, String incarnation, ServerCounters counters, List<RunRecord> records) {

    public RecordsAnswer {
        records = List.copyOf(records);
    }
}
