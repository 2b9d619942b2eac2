package org.daisyscale.cli;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import org.daisyscale.cli.internal.command.CliContext;
import org.daisyscale.cli.internal.command.DaisyscaleCommand;
import org.daisyscale.cli.internal.command.ThreadSleeper;
import org.daisyscale.cli.internal.output.Console;

/** Entry point of the command line. Exits with one of the codes in {@code ExitCode}. */
public final class Daisyscale {
    private Daisyscale() {}

    /** Runs the command given by {@code arguments}, then exits the process. */
    public static void main(String[] arguments) {
        System.setProperty("java.awt.headless", "true");
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8.newDecoder()));
        PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
        PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
        CliContext context =
                new CliContext(new Console(out, err, in), Clock.systemUTC(), new ThreadSleeper(), System.getenv());
        int exitCode = DaisyscaleCommand.run(context, arguments);
        out.flush();
        err.flush();
        System.exit(exitCode);
    }
}
