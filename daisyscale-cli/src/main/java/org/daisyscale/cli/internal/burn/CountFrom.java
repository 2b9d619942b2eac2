package org.daisyscale.cli.internal.burn;

/** The start of the counts in a report's totals. */
public enum CountFrom {
    /** Includes the counts from before the first sample of each router. */
    PROCESS_START,
    /** Includes only the increases between samples. */
    FIRST_SAMPLE
}
