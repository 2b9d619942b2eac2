package org.daisyscale.core.keys;

/**
 * Settings of the controller of keys. Immutable.
 *
 * @param holdMaxMillis the longest hold that a server accepts, in milliseconds
 */
public record KeySettings(long holdMaxMillis) {}
