package org.daisyscale.core.internal.dispatch;

import org.daisyscale.core.DispatchSettings;
import org.daisyscale.core.TimingSettings;
import org.daisyscale.core.internal.configuration.ConfigurationTracker;
import org.daisyscale.core.internal.membership.Roster;
import org.daisyscale.core.internal.ownership.DispatchDuties;
import org.daisyscale.core.internal.ownership.OwnershipMapTracker;
import org.daisyscale.core.internal.ownership.ServerTable;

/**
 * The settings and the shared state that a dispatcher reads. The record is immutable; the state it refers to is not.
 *
 * @param settings the dispatch policy and its limits
 * @param timing the lease, permit and probe times
 * @param roster the listed VMs
 * @param maps the latest ownership map
 * @param servers the backend servers' probe results
 * @param duties the ranges that this router dispatches, and the servers of each range
 * @param configuration the configuration in force
 */
public record DispatchContext(
        DispatchSettings settings,
        TimingSettings timing,
        Roster roster,
        OwnershipMapTracker maps,
        ServerTable servers,
        DispatchDuties duties,
        ConfigurationTracker configuration) {}
