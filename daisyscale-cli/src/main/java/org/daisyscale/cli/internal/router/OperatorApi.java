package org.daisyscale.cli.internal.router;

import org.daisyscale.core.status.RouterStatus;

/** A client of one router's operator API. Calls throw a coded exception if they don't reach it or are rejected. */
public interface OperatorApi {

    /** Returns the router's address as given by the operator. */
    String address();

    /** Returns the router's state. */
    RouterStatus status();

    /** Returns the configuration that the router has. */
    ConfigurationView configuration();

    /** Returns the router's metrics in the Prometheus text format; requires no token. */
    String metrics();

    /**
     * Proposes a configuration change.
     *
     * @return the revision that the change created
     */
    long propose(ConfigurationProposal proposal);
}
