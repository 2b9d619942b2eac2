package org.daisyscale.cli.internal.command;

import java.time.Clock;
import java.time.Duration;
import java.util.Map;
import org.daisyscale.cli.internal.output.Console;

/**
 * The environment of a command: everything that it doesn't get from its arguments. Immutable.
 *
 * @param console the operator's terminal
 * @param clock the wall clock
 * @param sleeper waits between polls and samples
 * @param environment the environment variables
 */
public record CliContext(Console console, Clock clock, Sleeper sleeper, Map<String, String> environment) {

    /** Suspends the calling thread; tests replace it to advance a clock instead. */
    public interface Sleeper {

        /** Returns after {@code duration}. */
        void sleep(Duration duration);
    }

    /** Returns the current time in milliseconds since the epoch. */
    long nowMillis() {
        return clock.millis();
    }
}
