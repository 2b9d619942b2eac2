package org.daisyscale.core.document;

/** How the keys of a service are assigned to its backend servers. */
public enum Ownership {
    /** Each key has one owner at a time. */
    EXCLUSIVE,
    /** Any backend server of the service may run any request. */
    POOLED
}
