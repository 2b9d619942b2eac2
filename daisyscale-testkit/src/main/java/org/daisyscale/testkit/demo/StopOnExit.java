package org.daisyscale.testkit.demo;

/** Closes something when the JVM ends before this is closed, as on an interrupt. Safe for use by several threads. */
final class StopOnExit implements AutoCloseable {
    private final Thread hook;
    private boolean isClosed;

    StopOnExit(AutoCloseable owned) {
        this.hook = new Thread(() -> closeQuietly(owned), "stop-on-exit");
        Runtime.getRuntime().addShutdownHook(hook);
    }

    private static void closeQuietly(AutoCloseable owned) {
        try {
            owned.close();
        } catch (Exception e) {
            throw new IllegalStateException("The started processes could not be stopped.", e);
        }
    }

    @Override
    public synchronized void close() {
        if (!isClosed) {
            isClosed = true;
            Runtime.getRuntime().removeShutdownHook(hook);
        }
    }
}
