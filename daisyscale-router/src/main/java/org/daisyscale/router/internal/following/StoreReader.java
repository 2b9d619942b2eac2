package org.daisyscale.router.internal.following;

import org.daisyscale.core.following.ReadRequest;

/** Reads one prefix of the store; each read ends as one event of the duty that follows the prefix. */
public interface StoreReader {

    /**
     * Starts a read. It replaces the one before, which may be given up without an event.
     *
     * @param number the number of the read, higher than that of the one before
     */
    void start(long number, ReadRequest request);
}
