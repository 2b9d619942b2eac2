package org.daisyscale.core.internal.keys;

import org.daisyscale.core.keys.KeyController;
import org.daisyscale.core.keys.KeySettings;

/** Creates key controllers. Stateless. */
public final class KeyControllers {

    private KeyControllers() {}

    /** Returns a controller that holds no lease and knows no servers or maps. */
    public static KeyController create(KeySettings settings) {
        return new LeasedKeyController(settings);
    }
}
