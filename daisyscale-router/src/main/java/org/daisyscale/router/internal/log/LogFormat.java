package org.daisyscale.router.internal.log;

/** The format of log lines. */
public enum LogFormat {
    TEXT,
    JSON
}
