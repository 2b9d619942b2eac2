package org.daisyscale.router.internal.serving;

/** The keys of daisyscale's own items in the platform's store. Stateless. */
final class StoreKeys {
    static final String ROOT = "daisyscale/";
    static final String PREFIX = ROOT + "fleet/";
    static final String CONTROLLER = PREFIX + "controller";
    static final String PEER_SECRET = PREFIX + "peer-secret";
    static final String ROUTERS = PREFIX + "routers/";
    static final String KEY_MAPS = ROOT + "keys/";

    private StoreKeys() {}

    static String router(String routerId) {
        return ROUTERS + routerId;
    }

    static String keyMap(String service) {
        return KEY_MAPS + service;
    }
}
