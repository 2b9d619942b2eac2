package org.daisyscale.core.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

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

    /** Returns the names of the organisations that differ between this table and {@code other}. */
    Set<String> namesThatDifferFrom(OrganisationTable other) {
        Set<String> names = new HashSet<>(byName.keySet());
        names.addAll(other.byName.keySet());
        names.removeIf(name -> Objects.equals(byName.get(name), other.byName.get(name)));
        return names;
    }

    /** Returns the change that leads to this table from any other that differs in {@code names} at most. */
    Change changeOf(Set<String> names) {
        Map<String, Organisation> changed = new HashMap<>(byName);
        changed.keySet().retainAll(names);
        Set<String> removed = new HashSet<>(names);
        removed.removeAll(byName.keySet());
        return new Change(isInForce, changed, removed);
    }

    /**
     * A change to a newer table. Immutable.
     *
     * @param isInForce whether the newer table is in force
     * @param changed the added and changed organisations, by name
     * @param removed the names of the organisations that the newer table lacks
     */
    public record Change(boolean isInForce, Map<String, Organisation> changed, Set<String> removed) {
        /** The change to the table of a configuration without organisations. */
        public static final Change NONE = new Change(false, Map.of(), Set.of());

        public Change {
            changed = Map.copyOf(changed);
            removed = Set.copyOf(removed);
        }

        /** Returns the newer table, given the {@code older} one. */
        OrganisationTable applyTo(OrganisationTable older) {
            Map<String, Organisation> byName = new HashMap<>(older.byName);
            byName.keySet().removeAll(removed);
            byName.putAll(changed);
            return new OrganisationTable(isInForce, byName);
        }
    }
}
