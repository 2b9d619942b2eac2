package org.daisyscale.core.quota;

/** The monotonic clock of a VM, which runs up to 1% too fast or too slow and stops while the VM is suspended. */
final class ModelClock {
    private final double speed;
    private double nanos;

    ModelClock(double speed, double startNanos) {
        this.speed = speed;
        this.nanos = startNanos;
    }

    void advance(long realNanos) {
        nanos += realNanos * speed;
    }

    long nanos() {
        return (long) nanos;
    }
}
