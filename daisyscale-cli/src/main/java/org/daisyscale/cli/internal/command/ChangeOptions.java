package org.daisyscale.cli.internal.command;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;
import org.daisyscale.cli.internal.decision.Danger;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;
import picocli.CommandLine.Option;

/** Options of commands that change the configuration: author, reason, confirmation and waiting. Set by picocli. */
final class ChangeOptions {
    private static final Pattern ONE_LINE = Pattern.compile("[^\\p{Cntrl}]{0,500}");

    @Option(
            names = "--author",
            paramLabel = "NAME",
            defaultValue = "${env:DAISYSCALE_AUTHOR:-${sys:user.name}}",
            description = "Author recorded in the history (environment: DAISYSCALE_AUTHOR; default: ${DEFAULT-VALUE}).")
    private String author;

    @Option(
            names = "--reason",
            paramLabel = "TEXT",
            defaultValue = "",
            description = "Reason recorded in the history. Required with --force.")
    private String reason;

    @Option(names = "--force", description = "Make the change although it is dangerous; requires --reason.")
    private boolean isForced;

    @Option(names = "--yes", description = "Don't ask for confirmation.")
    private boolean isConfirmed;

    @Option(names = "--wait", description = "Wait until the change is in force at every live router.")
    private boolean isAwaited;

    @Option(
            names = "--wait-limit",
            paramLabel = "TIME",
            defaultValue = "30s",
            converter = DurationConverter.class,
            description = "Longest time to wait with --wait (default: ${DEFAULT-VALUE}).")
    private Duration waitLimit;

    /** Rejects an author or reason that the history can't store, and --force without a reason. */
    void check() {
        if (!ONE_LINE.matcher(author).matches() || author.isBlank()) {
            throw new CliException(CliErrorCode.WRONG_USE, "--author expects 1 to 500 characters on one line");
        }
        if (!ONE_LINE.matcher(reason).matches()) {
            throw new CliException(CliErrorCode.WRONG_USE, "--reason expects at most 500 characters on one line");
        }
        if (isForced && reason.isBlank()) {
            throw new CliException(
                    CliErrorCode.WRONG_USE, "--force requires --reason, which is recorded in the history");
        }
    }

    /**
     * Rejects the change if it is dangerous, unless it is forced and the danger may be overridden.
     *
     * @return the reason to record in the history, including the danger that was overridden
     */
    String historyReason(Optional<Danger> danger) {
        if (danger.isEmpty()) {
            return reason;
        }
        String description = danger.get().reason();
        if (isForced && danger.get().isForceable()) {
            return "%s (forced although %s)".formatted(reason, description);
        }
        String hint = danger.get().isForceable() ? "; give --force --reason to make the change anyway" : "";
        throw new CliException(CliErrorCode.DANGEROUS, description + hint);
    }

    String author() {
        return author;
    }

    String reason() {
        return reason;
    }

    boolean isForced() {
        return isForced;
    }

    boolean isConfirmed() {
        return isConfirmed;
    }

    boolean isAwaited() {
        return isAwaited;
    }

    Duration waitLimit() {
        return waitLimit;
    }
}
