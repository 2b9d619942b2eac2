package org.daisyscale.router.internal.settings;

/**
 * The limits of the router's shell. Immutable.
 *
 * @param maxBufferedBytes the total size of the bodies that the router buffers at once, in bytes
 * @param eventRingCapacity the number of events that can wait for the core
 * @param stopLimitMillis the time limit of a planned stop, in milliseconds
 */
public record LimitSettings(long maxBufferedBytes, int eventRingCapacity, long stopLimitMillis) {}
