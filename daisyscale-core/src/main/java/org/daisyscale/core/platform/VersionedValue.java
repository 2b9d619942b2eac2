package org.daisyscale.core.platform;

/**
 * A value of the platform's service with its version for compare-and-swap. Immutable, provided that nobody modifies the
 * array.
 *
 * @param key the key
 * @param bytes the value
 * @param version the version that the service assigned to the value; 0 if there is no value
 */
@SuppressWarnings("ArrayRecordComponent")
public record VersionedValue(String key, byte[] bytes, long version) {}
