package org.daisyscale.router.internal.serving;

/** What became of an update of the controller at this router. */
enum UpdateResult {
    APPLIED("applied"),
    /** This router has read further itself. */
    OLDER("older"),
    /** The update starts from other versions, or later, than what is held here. */
    DOES_NOT_APPLY("does-not-apply"),
    /** No configuration is known yet that the update could change. */
    NO_CONFIGURATION("no-configuration"),
    /** The items have to be listed first. */
    NOT_LISTED("not-listed");

    private final String label;

    UpdateResult(String label) {
        this.label = label;
    }

    /** Returns the name in logs and metrics. */
    String label() {
        return label;
    }
}
