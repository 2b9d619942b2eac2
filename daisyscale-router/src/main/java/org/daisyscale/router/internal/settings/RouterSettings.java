package org.daisyscale.router.internal.settings;

import org.daisyscale.core.CoreSettings;
import org.daisyscale.router.internal.backend.BackendSettings;
import org.daisyscale.router.internal.front.CallerFrontSettings;
import org.daisyscale.router.internal.operator.OperatorSettings;

/**
 * All settings of a router, validated. Immutable.
 *
 * @param identity the identity and location of the router
 * @param core the settings of the core
 * @param callers the settings of the HTTP server for callers
 * @param operators the settings of the HTTP server for operators
 * @param peers the settings of the connections between routers
 * @param platform the locations of the platform's services
 * @param backend the settings of the calls to backend servers
 * @param limits the limits of the router's shell
 * @param log the settings of the log and the trace
 */
public record RouterSettings(
        RouterIdentity identity,
        CoreSettings core,
        CallerFrontSettings callers,
        OperatorSettings operators,
        PeerSettings peers,
        PlatformSettings platform,
        BackendSettings backend,
        LimitSettings limits,
        LogSettings log) {}
