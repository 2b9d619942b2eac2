package org.daisyscale.router.internal.settings;

import java.util.Locale;
import java.util.Map;
import org.daisyscale.router.internal.error.ShellErrorCode;
import org.daisyscale.router.internal.error.ShellException;
import picocli.CommandLine;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.ParseResult;

/**
 * Reads the settings from flags and environment variables and reports all mistakes at once. Immutable.
 *
 * <pre>{@code
 * RouterSettings settings = new SettingsReader(System.getenv()).read(args).settings();
 * }</pre>
 */
public final class SettingsReader {
    private final Map<String, String> environment;

    /** Creates a reader that uses {@code environment} as the environment variables. */
    public SettingsReader(Map<String, String> environment) {
        this.environment = Map.copyOf(environment);
    }

    /**
     * Reads the settings, or the text that {@code args} ask for, such as the help.
     *
     * @throws ShellException with {@link ShellErrorCode#INVALID_SETTINGS} and all mistakes in one line
     */
    public Result read(String... args) {
        CommandLine commandLine = new CommandLine(RouterOptions.class);
        RouterOptions options = commandLine.getCommand();
        commandLine.setDefaultValueProvider(new EnvironmentDefaults(environment));
        commandLine.getCommandSpec().parser().collectErrors(true);
        ParseResult parsed = commandLine.parseArgs(args);
        if (parsed.isUsageHelpRequested()) {
            return Result.text(commandLine.getUsageMessage());
        }
        if (parsed.isVersionHelpRequested()) {
            return Result.text(String.join("\n", commandLine.getCommandSpec().version()) + "\n");
        }
        RouterSettings settings = validate(options, parsed);
        return options.isPrintSettings()
                ? Result.text(SettingsPrinter.print(commandLine, settings))
                : Result.settings(settings);
    }

    private RouterSettings validate(RouterOptions options, ParseResult parsed) {
        SettingsCheck check = new SettingsCheck();
        parsed.errors().forEach(error -> check.addMistake(error.getMessage()));
        RouterSettings settings = build(options, check);
        requireNoMistake(check);
        return settings;
    }

    /** Builds the settings. A flag whose value can't be parsed has no value, so the builder may throw early. */
    private RouterSettings build(RouterOptions options, SettingsCheck check) {
        try {
            return new SettingsBuilder(options, check, new SecretSource(environment)).build();
        } catch (RuntimeException e) {
            requireNoMistake(check);
            throw e;
        }
    }

    private static void requireNoMistake(SettingsCheck check) {
        if (!check.mistakes().isEmpty()) {
            throw new ShellException(ShellErrorCode.INVALID_SETTINGS, String.join("; ", check.mistakes()));
        }
    }

    /**
     * The settings, or a text to print instead of running the router. Immutable.
     *
     * @param settings the settings; null if a text was requested
     * @param text the requested text; null if the router is to run
     */
    public record Result(RouterSettings settings, String text) {

        static Result settings(RouterSettings settings) {
            return new Result(settings, null);
        }

        static Result text(String text) {
            return new Result(null, text);
        }
    }

    /** Provides a flag's default from its environment variable; null for the default in its declaration. Immutable. */
    private record EnvironmentDefaults(Map<String, String> environment) implements CommandLine.IDefaultValueProvider {

        @Override
        public String defaultValue(ArgSpec argument) {
            if (argument instanceof OptionSpec option) {
                return environment.get(variable(option.longestName()));
            }
            return null;
        }

        private static String variable(String flag) {
            return "DAISYSCALE_" + flag.substring(2).replace('-', '_').toUpperCase(Locale.ROOT);
        }
    }
}
