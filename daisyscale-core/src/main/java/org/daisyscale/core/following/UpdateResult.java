package org.daisyscale.core.following;

/** What became of an update of the controller at this router. */
public enum UpdateResult {
    APPLIED("applied"),
    /** This router holds the same items, or has read further itself. */
    OLDER("older"),
    /** The update does not lead from what is held here to what it promises. */
    DOES_NOT_APPLY("does-not-apply"),
    /** No configuration is known yet that the update could change. */
    NO_CONFIGURATION("no-configuration"),
    /** Nothing has been read yet that the update could change. */
    NOT_LISTED("not-listed");

    private final String label;

    UpdateResult(String label) {
        this.label = label;
    }

    /** Returns the name in logs and metrics. */
    public String label() {
        return label;
    }

    /** Returns whether the update would have to hold everything to be applied here. */
    public boolean needsWhole() {
        return this == DOES_NOT_APPLY || this == NO_CONFIGURATION || this == NOT_LISTED;
    }
}
