package org.daisyscale.cli.internal.command;

import java.util.List;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.output.Console;
import org.daisyscale.cli.internal.router.ConfigurationRaceException;
import org.daisyscale.core.error.DaisyscaleException;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ScopeType;

/** The root command: parses the command line and reports each error as one line and an exit code. */
@Command(
        name = "daisyscale",
        version = "daisyscale 0.1.0",
        description = "Operates daisyscale: documents, data centres, backend servers, status and guarantees.",
        mixinStandardHelpOptions = true,
        scope = ScopeType.INHERIT,
        synopsisSubcommandLabel = "COMMAND",
        footerHeading = "%nExit codes:%n",
        footer = {
            "  0  done",
            "  1  refused, failed, or a watched guarantee is violated",
            "  2  invalid command line",
            "",
            "Examples:",
            "  export DAISYSCALE_ROUTERS=http://10.0.0.1:9001,http://10.0.0.2:9001",
            "  export DAISYSCALE_OPERATOR_TOKEN_FILE=operator.token",
            "  daisyscale document apply trial.yaml --reason 'first services' --wait",
            "  daisyscale watch --for 10m",
            "  source <(daisyscale generate-completion)"
        })
public final class DaisyscaleCommand {
    private static final int HELP_WIDTH = 110;

    private DaisyscaleCommand() {}

    /** Runs the command in {@code arguments} and returns its exit code. */
    public static int run(CliContext context, String... arguments) {
        Console console = context.console();
        return commandLine(context)
                .setOut(console.out())
                .setErr(console.err())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExpandAtFiles(false)
                .setUsageHelpWidth(HELP_WIDTH)
                .setParameterExceptionHandler((failure, rejected) -> showWrongUse(console, failure))
                .setExecutionExceptionHandler((failure, command, parsed) -> showFailure(console, failure))
                .execute(arguments);
    }

    private static CommandLine commandLine(CliContext context) {
        CommandLine.IFactory factory = new ContextInjectingFactory(context);
        return new CommandLine(new DaisyscaleCommand(), factory)
                .addSubcommand(documents(context, factory))
                .addSubcommand(new CommandLine(new DataCentreCommand(context), factory))
                .addSubcommand(new CommandLine(new ServerCommand(context), factory))
                .addSubcommand(new CommandLine(new OwnerCommand(context), factory))
                .addSubcommand(new CommandLine(new StatusCommand(context), factory))
                .addSubcommand(new CommandLine(new WatchCommand(context), factory))
                .addSubcommand(new CommandLine(new BurnCommand(context), factory))
                .addSubcommand(new CommandLine(new ErrorsCommand(context), factory))
                .addSubcommand(new CommandLine(new AutoComplete.GenerateCompletion(), factory));
    }

    private static CommandLine documents(CliContext context, CommandLine.IFactory factory) {
        return new CommandLine(new DocumentCommand(), factory)
                .addSubcommand(new CommandLine(new DocumentCheckCommand(context), factory))
                .addSubcommand(new CommandLine(new DocumentDiffCommand(context), factory))
                .addSubcommand(new CommandLine(new DocumentApplyCommand(context), factory))
                .addSubcommand(new CommandLine(new DocumentShowCommand(context), factory))
                .addSubcommand(new CommandLine(new DocumentHistoryCommand(context), factory))
                .addSubcommand(new CommandLine(new DocumentPromoteCommand(context), factory));
    }

    private static int showWrongUse(Console console, ParameterException failure) {
        String command = failure.getCommandLine().getCommandSpec().qualifiedName();
        console.printNotice("%s: %s; see '%s --help'".formatted(command, oneLine(failure.getMessage()), command));
        return ExitCode.WRONG_USE;
    }

    private static int showFailure(Console console, Exception failure) throws Exception {
        if (!(failure instanceof DaisyscaleException coded)) {
            throw failure;
        }
        console.printNotice("daisyscale: " + oneLine(coded.getMessage()));
        if (coded instanceof ConfigurationRaceException race) {
            showRace(console, race);
        }
        return coded.errorCode() == CliErrorCode.WRONG_USE ? ExitCode.WRONG_USE : ExitCode.FAILED;
    }

    private static void showRace(Console console, ConfigurationRaceException race) {
        List<String> lines = HistoryFormatter.format(race.newerChanges());
        lines.forEach(console::printNotice);
        console.printNotice(
                "Nothing of yours was changed. Run the command again: it starts from revision %d and shows the"
                                .formatted(race.currentRevision())
                        + " difference to it.");
    }

    private static String oneLine(String text) {
        int maxLength = 2_000;
        String line = text.replaceAll("\\s+", " ");
        return line.length() <= maxLength ? line : line.substring(0, maxLength) + "...";
    }
}
