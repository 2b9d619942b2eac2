package org.daisyscale.router.internal.settings;

/**
 * The locations of the platform's services. Immutable.
 *
 * @param platformUrl the URL of the platform's key-value service, or {@code embedded}
 * @param vmListUrl the URL of the platform's list of VMs; empty if the list is given inline
 * @param vmListInline the list of VMs as JSON; empty if the list is read from a URL
 */
public record PlatformSettings(String platformUrl, String vmListUrl, String vmListInline) {
    public static final String EMBEDDED = "embedded";

    /** Returns whether the router runs the key-value service in its own process. */
    public boolean isEmbedded() {
        return platformUrl.equals(EMBEDDED);
    }
}
