package org.daisyscale.router.internal.request;

/**
 * One header of a request or an answer. Immutable.
 *
 * @param name the name as sent
 * @param value the value
 */
public record HeaderField(String name, String value) {}
