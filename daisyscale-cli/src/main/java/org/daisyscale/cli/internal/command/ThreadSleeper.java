package org.daisyscale.cli.internal.command;

import java.time.Duration;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;

/** Puts the calling thread to sleep. Stateless and thread-safe. */
public final class ThreadSleeper implements CliContext.Sleeper {

    @Override
    public void sleep(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException cause) {
            Thread.currentThread().interrupt();
            throw new CliException(CliErrorCode.WRONG_USE, "the command was interrupted", cause);
        }
    }
}
