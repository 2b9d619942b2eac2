package org.daisyscale.cli.internal.output;

/** The format of a command's result. */
public enum OutputFormat {
    /** Text for human readers. */
    TEXT,
    /** One JSON value per line. */
    JSON
}
