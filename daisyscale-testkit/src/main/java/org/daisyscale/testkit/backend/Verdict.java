package org.daisyscale.testkit.backend;

/** What a server does with an order. Implementations are immutable. */
public sealed interface Verdict {

    /**
     * It runs.
     *
     * @param ticket names the run until it ends
     */
    record Run(long ticket) implements Verdict {}

    /** It is refused, and nothing ran. */
    record Refuse(Refusal refusal) implements Verdict {}

    /** The server has fallen over and answers with an error. */
    record Broken() implements Verdict {}

    /** Why nothing ran. */
    enum Refusal {
        NOT_OWNER("not-owner", 421),
        SHED("shed", 503),
        DRAINING("draining", 503),
        EXPIRED("expired", 504);

        private final String headerValue;
        private final int status;

        Refusal(String headerValue, int status) {
            this.headerValue = headerValue;
            this.status = status;
        }

        /** The value of the header {@code Daisyscale-Not-Run}. */
        public String headerValue() {
            return headerValue;
        }

        /** The HTTP status. */
        public int status() {
            return status;
        }
    }
}
