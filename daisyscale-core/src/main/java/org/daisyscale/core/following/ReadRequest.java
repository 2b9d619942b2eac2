package org.daisyscale.core.following;

/**
 * A read of the prefix in the store that should be started. Immutable.
 *
 * @param kind which call
 * @param afterRevision for a watch, the revision after which changes are wanted
 * @param waitMillis for a watch, how long the store may hold it, in milliseconds
 * @param reason why the store is read
 */
public record ReadRequest(Kind kind, long afterRevision, long waitMillis, Reason reason) {

    /** The calls that read a prefix. */
    public enum Kind {
        LIST,
        WATCH
    }

    /** Why a router reads the store. */
    public enum Reason {
        /** It is the controller. */
        CONTROLLER("controller"),
        /** Nobody tells it. */
        CONTROLLER_SILENT("controller-silent"),
        /** The controller has read further, and what it sent does not reach as far here. */
        CONTROLLER_AHEAD("controller-ahead"),
        /** The items have to be listed first. */
        NOT_LISTED("not-listed"),
        /** The last call failed. */
        STORE_FAILED("store-failed");

        private final String label;

        Reason(String label) {
            this.label = label;
        }

        /** Returns the name in logs. */
        public String label() {
            return label;
        }
    }
}
