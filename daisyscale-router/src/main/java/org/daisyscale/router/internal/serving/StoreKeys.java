package org.daisyscale.router.internal.serving;

import java.util.HexFormat;

/** The keys of daisyscale's own items in the platform's store. Stateless. */
final class StoreKeys {
    static final String ROOT = "daisyscale/";
    static final String PREFIX = ROOT + "fleet/";
    static final String CONTROLLER = PREFIX + "controller";
    static final String PEER_SECRET = PREFIX + "peer-secret";
    static final String ROUTERS = PREFIX + "routers/";
    /** What is known about requests that were lost with servers. Listed with the routers, at no further call. */
    static final String LOSSES = PREFIX + "losses/";

    static final String KEY_MAPS = ROOT + "keys/";

    private StoreKeys() {}

    static String router(String routerId) {
        return ROUTERS + routerId;
    }

    static String losses(long fingerprint) {
        return LOSSES + HexFormat.of().toHexDigits(fingerprint);
    }

    static String keyMap(String service) {
        return KEY_MAPS + service;
    }
}
