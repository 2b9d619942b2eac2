package org.daisyscale.core.document;

import java.util.List;

/**
 * The document with which operators configure one environment: the services with their job names, and the handling of
 * each kind of request. Immutable.
 *
 * @param formatVersion the version of the document's format, currently 1
 * @param environment the environment's name, such as {@code trial}
 * @param services the services, with unique names
 */
public record EnvironmentDocument(int formatVersion, String environment, List<ServicePolicy> services) {
    public static final int CURRENT_FORMAT_VERSION = 1;

    public EnvironmentDocument {
        services = List.copyOf(services);
    }
}
