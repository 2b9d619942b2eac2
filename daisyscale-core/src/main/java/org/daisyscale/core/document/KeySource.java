package org.daisyscale.core.document;

/** The part of a request that contains its key. */
public enum KeySource {
    PATH,
    HEADER,
    QUERY,
    /** The kind has no key; permitted for pooled services only. */
    NONE
}
