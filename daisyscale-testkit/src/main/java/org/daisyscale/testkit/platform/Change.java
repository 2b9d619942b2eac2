package org.daisyscale.testkit.platform;

/**
 * One change of a key. Immutable.
 *
 * @param isDelete whether the key was deleted
 * @param keyValue the key and, unless deleted, its new value
 */
record Change(boolean isDelete, KeyValue keyValue) {}
