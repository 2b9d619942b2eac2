package org.daisyscale.core;

/** How a router renews its authority to act. All but {@link #WITNESS} are baselines for comparison. */
public enum RenewalMode {
    /** A majority of the routers of record confirms that no newer map is in force. */
    WITNESS,
    /** A router has authority only while it reaches the platform's service. */
    SERVICE_ONLY,
    /** A router has authority for a long fixed time after it read the map. */
    LONG_HORIZON
}
