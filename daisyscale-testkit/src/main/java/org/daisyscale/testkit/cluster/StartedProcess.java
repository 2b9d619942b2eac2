package org.daisyscale.testkit.cluster;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.daisyscale.testkit.error.TestkitErrorCode;
import org.daisyscale.testkit.error.TestkitException;

/** A process that the testkit started and alone may end. Safe for use by several threads. */
public final class StartedProcess implements AutoCloseable {
    private static final long STOP_TIMEOUT_SECONDS = 5;

    private final String name;
    private final Process process;
    private final Path log;

    private StartedProcess(String name, Process process, Path log) {
        this.name = name;
        this.process = process;
        this.log = log;
    }

    /**
     * Starts {@code command} with its output going to {@code log}.
     *
     * @throws TestkitException when it can't be started
     */
    public static StartedProcess start(String name, List<String> command, Map<String, String> environment, Path log) {
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().putAll(environment);
        try {
            return new StartedProcess(name, builder.start(), log);
        } catch (IOException e) {
            throw new TestkitException(TestkitErrorCode.PROCESS_FAILED, name + ": " + command.get(0), e);
        }
    }

    /** The name. */
    public String name() {
        return name;
    }

    /** The process's id. */
    public long pid() {
        return process.pid();
    }

    /** Fails when the process has ended by itself. */
    public void requireAlive() {
        if (!process.isAlive()) {
            String detail = name + " ended with " + process.exitValue() + ", log " + log;
            throw new TestkitException(TestkitErrorCode.PROCESS_FAILED, detail);
        }
    }

    /** The CPU time that it has spent. */
    public Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Whether it runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Ends the process and its children at once, by SIGKILL. */
    public void kill() {
        process.descendants().forEach(ProcessHandle::destroyForcibly);
        process.destroyForcibly();
        awaitEnd();
    }

    /** Asks the process to end by SIGTERM, without waiting. */
    public void askToStop() {
        process.descendants().forEach(ProcessHandle::destroy);
        process.destroy();
    }

    /** Stops the process in its tracks, by SIGSTOP. */
    public void freeze() {
        signal("STOP");
    }

    /** Lets a frozen process go on, by SIGCONT. */
    public void thaw() {
        signal("CONT");
    }

    private void signal(String name) {
        try {
            int status = new ProcessBuilder("kill", "-" + name, Long.toString(pid()))
                    .start()
                    .waitFor();
            if (status != 0) {
                throw new TestkitException(TestkitErrorCode.PROCESS_FAILED, "SIG" + name + " to " + this.name);
            }
        } catch (IOException e) {
            throw new TestkitException(TestkitErrorCode.PROCESS_FAILED, "SIG" + name + " to " + this.name, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new TestkitException(TestkitErrorCode.PROCESS_FAILED, "interrupted", e);
        }
    }

    /** The exit code, once the process has ended; empty when it has not within {@code limit}. */
    public OptionalInt awaitExitCode(Duration limit) {
        try {
            boolean hasEnded = process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS);
            return hasEnded ? OptionalInt.of(process.exitValue()) : OptionalInt.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return OptionalInt.empty();
        }
    }

    private boolean awaitEnd() {
        try {
            return process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Ends the process, by SIGTERM first and by SIGKILL when that takes too long. */
    @Override
    public void close() {
        askToStop();
        if (!awaitEnd()) {
            kill();
        }
    }
}
