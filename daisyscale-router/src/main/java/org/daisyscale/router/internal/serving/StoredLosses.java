package org.daisyscale.router.internal.serving;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.daisyscale.core.serving.LossRecord;
import org.daisyscale.core.serving.LossRecord.LostServer;
import org.daisyscale.router.internal.json.Json;

/**
 * What the store has about a request that was lost with servers. Immutable.
 *
 * @param fingerprint the fingerprint of the request
 * @param servers the servers that were lost with it; empty once a server answered it
 * @param tries how often it was lost again after a pause
 * @param lastLostEpochMillis when it was lost last, in milliseconds since the epoch
 */
record StoredLosses(long fingerprint, List<LostServer> servers, int tries, long lastLostEpochMillis) {

    StoredLosses {
        servers = List.copyOf(servers);
    }

    /** Returns what is stored of {@code losses}, whose age counts from {@code nowEpochMillis}. */
    static StoredLosses of(LossRecord losses, long nowEpochMillis) {
        return new StoredLosses(
                losses.fingerprint(), losses.servers(), losses.tries(), nowEpochMillis - losses.ageMillis());
    }

    static StoredLosses read(byte[] bytes) {
        return Json.read(bytes, StoredLosses.class);
    }

    byte[] write() {
        return Json.write(this);
    }

    /** Returns the record at {@code nowEpochMillis}; the clocks of two VMs may differ. */
    LossRecord toRecord(long nowEpochMillis) {
        return new LossRecord(fingerprint, servers, tries, Math.max(0, nowEpochMillis - lastLostEpochMillis));
    }

    /** Returns the losses that this or {@code other} has; an answer outweighs earlier losses. */
    StoredLosses merge(StoredLosses other) {
        if (servers.isEmpty() || other.servers.isEmpty()) {
            return this;
        }
        Set<LostServer> all = new LinkedHashSet<>(servers);
        all.addAll(other.servers);
        return new StoredLosses(
                fingerprint,
                List.copyOf(all),
                Math.max(tries, other.tries),
                Math.max(lastLostEpochMillis, other.lastLostEpochMillis));
    }
}
