package org.daisyscale.core;

/** The selectable dispatch policies. All but {@link #LATE_BINDING} are baselines for comparison. */
public enum DispatchPolicyName {
    /** Queues requests at the dispatcher until a server has a free slot. */
    LATE_BINDING,
    /** Assigns requests to the servers in turn; requests queue at the servers. */
    ROUND_ROBIN,
    /** Assigns each request to a random server. */
    RANDOM,
    /** Picks two random servers and assigns the request to the one with fewer orders of this router in flight. */
    TWO_CHOICES
}
