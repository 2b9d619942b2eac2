package org.daisyscale.testkit.load;

import java.util.List;
import org.daisyscale.testkit.error.TestkitErrorCode;
import org.daisyscale.testkit.error.TestkitException;

/**
 * What a load run sends. The same plan and seed give the same requests, but for ids. Immutable.
 *
 * @param kinds the kinds of request
 * @param ratePerSecond the requests a second
 * @param isPoisson whether the gaps are exponential, or else even
 * @param warmUpMillis how long, of the duration, the summary leaves requests out, in milliseconds
 * @param durationMillis how long requests begin, in milliseconds
 * @param timeoutMillis how long a caller waits for one answer, in milliseconds
 * @param inFlightLimit the most requests that wait at once; those above it count as not sent
 * @param seed the seed
 */
public record LoadPlan(
        List<LoadKind> kinds,
        double ratePerSecond,
        boolean isPoisson,
        long warmUpMillis,
        long durationMillis,
        long timeoutMillis,
        int inFlightLimit,
        long seed) {
    private static final int IN_FLIGHT_CEILING = 30_000;

    public LoadPlan {
        kinds = List.copyOf(kinds);
        if (inFlightLimit > IN_FLIGHT_CEILING) {
            throw new TestkitException(TestkitErrorCode.BAD_SETTING, "inFlightLimit over " + IN_FLIGHT_CEILING);
        }
    }
}
