package org.daisyscale.cli.internal.command;

/** The exit codes shared by all commands. */
public final class ExitCode {
    /** The command succeeded. */
    public static final int DONE = 0;
    /** The command was refused or failed, or a watched guarantee is violated. */
    public static final int FAILED = 1;
    /** The command line is invalid. */
    public static final int WRONG_USE = 2;

    private ExitCode() {}
}
