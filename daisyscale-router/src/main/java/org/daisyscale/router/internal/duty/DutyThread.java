package org.daisyscale.router.internal.duty;

import org.tinylog.Logger;

/**
 * The thread of one duty. It runs its step repeatedly until it is closed; a step that throws is logged and does not end
 * the thread. Closing interrupts the step and waits a limited time for the thread to end. Thread-safe.
 *
 * <pre>{@code
 * try (DutyThread probes = DutyThread.start("probes", this::probeNext)) {
 *     stopSignal.awaitStopRequest();
 * }
 * }</pre>
 */
public final class DutyThread implements AutoCloseable {
    private static final long JOIN_TIMEOUT_MILLIS = 2_000;

    private final Thread thread;
    private volatile boolean isClosed;

    private DutyThread(String name, Step step) {
        this.thread = new Thread(() -> runUntilClosed(step), name);
        this.thread.setDaemon(true);
    }

    /** Starts a thread named {@code name} that repeats {@code step}; the step must block while it has no work. */
    public static DutyThread start(String name, Step step) {
        DutyThread duty = new DutyThread(name, step);
        duty.thread.start();
        return duty;
    }

    private void runUntilClosed(Step step) {
        while (!isClosed) {
            runOnce(step);
        }
    }

    private void runOnce(Step step) {
        try {
            step.run();
        } catch (InterruptedException e) {
            isClosed = true;
            Thread.currentThread().interrupt();
        } catch (RuntimeException | Error e) {
            Logger.error(e, "duty-step-failed duty={}", thread.getName());
        }
    }

    @Override
    public void close() {
        isClosed = true;
        thread.interrupt();
        try {
            thread.join(JOIN_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One step of a duty. */
    @FunctionalInterface
    public interface Step {

        /** Processes one unit of work; blocks until there is one. */
        void run() throws InterruptedException;
    }
}
