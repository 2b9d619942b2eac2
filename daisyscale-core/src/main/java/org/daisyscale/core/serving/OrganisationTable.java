package org.daisyscale.core.serving;

import java.util.Map;

/**
 * The organisations of one version of the configuration. Immutable.
 *
 * @param isInForce whether the configuration has organisations, so that requests on routes that aren't public need an
 *     API key; a table that is in force may be empty
 * @param byName the organisations by name
 */
public record OrganisationTable(boolean isInForce, Map<String, Organisation> byName) {
    /** The table of a configuration without organisations. */
    public static final OrganisationTable NONE = new OrganisationTable(false, Map.of());

    public OrganisationTable {
        byName = Map.copyOf(byName);
    }
}
