package org.daisyscale.core.serving;

import java.util.Optional;

/**
 * Where this router has a version of the configuration from: the platform's store, or an update of the controller.
 * Immutable.
 *
 * @param controllerId the router that sent it as the controller; empty if this router read it from the store
 * @param revision the store's revision of the configuration that was read, or of the last change in the update
 */
public record ConfigurationSource(Optional<String> controllerId, long revision) {

    /** Returns the source of a configuration that this router read from the store. */
    public static ConfigurationSource fromStore(long revision) {
        return new ConfigurationSource(Optional.empty(), revision);
    }

    /** Returns the source of a configuration that the controller {@code controllerId} sent. */
    public static ConfigurationSource fromController(String controllerId, long revision) {
        return new ConfigurationSource(Optional.of(controllerId), revision);
    }
}
