package org.daisyscale.core.internal.serving;

import org.daisyscale.core.serving.RequestRouter;
import org.daisyscale.core.serving.ServingSettings;

/** Creates request routers. Stateless. */
public final class RequestRouters {

    private RequestRouters() {}

    /** Returns a router without configuration, servers or key maps. */
    public static RequestRouter create(ServingSettings settings) {
        return new DirectRequestRouter(settings);
    }
}
