package org.daisyscale.router.internal.settings;

import org.daisyscale.router.internal.log.LogFormat;

/**
 * The settings of the log and the trace. Immutable.
 *
 * @param format the format of log lines
 * @param level the lowest level that is logged
 * @param traceFile the file in which the core's events are recorded; empty for no trace
 */
public record LogSettings(LogFormat format, String level, String traceFile) {}
