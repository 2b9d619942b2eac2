package org.daisyscale.cli.internal.command;

import java.io.BufferedReader;
import java.io.PrintWriter;
import java.io.StringReader;
import java.io.StringWriter;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.Map;
import org.daisyscale.cli.internal.output.Console;

/** Runs commands in this process with a clock that advances only while a command waits. Not thread-safe. */
final class CommandRun {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();
    private final ManualClock clock = new ManualClock();
    private Runnable whileWaiting = () -> {};
    private int exitCode;

    /** Runs one command with {@code answers} as its standard input. */
    static CommandRun of(String answers, String... arguments) {
        return new CommandRun().run(answers, arguments);
    }

    CommandRun run(String answers, String... arguments) {
        Console console =
                new Console(new PrintWriter(out), new PrintWriter(err), new BufferedReader(new StringReader(answers)));
        Map<String, String> environment = Map.of(RouterOptions.TOKEN_VARIABLE, FakeRouter.TOKEN);
        exitCode = DaisyscaleCommand.run(new CliContext(console, clock, this::pause, environment), arguments);
        return this;
    }

    CommandRun whileWaiting(Runnable action) {
        whileWaiting = action;
        return this;
    }

    private void pause(Duration duration) {
        clock.now = clock.now.plus(duration);
        whileWaiting.run();
    }

    int exitCode() {
        return exitCode;
    }

    String out() {
        return out.toString();
    }

    String err() {
        return err.toString();
    }

    private static final class ManualClock extends Clock {
        private Instant now = Instant.parse("2026-12-04T08:00:00Z");

        @Override
        public Instant instant() {
            return now;
        }

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }
    }
}
