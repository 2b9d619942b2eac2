package org.daisyscale.router.internal.serving;

import java.lang.management.ManagementFactory;

/**
 * The parts of a router's memory that bodies may take. Immutable.
 *
 * @param callerBytes for the bodies of requests, and for responses until their callers have read them, in bytes
 * @param backendBytes for the responses of backend servers while they are received, in bytes
 */
record MemoryShares(long callerBytes, long backendBytes) {
    /** Part of the VM's memory that the heap may take; the rest is for the VM's code, threads and socket buffers. */
    private static final double HEAP_FRACTION = 0.5;
    /** Part of the heap for callers: a body is copied once while it is read, and half of the heap must stay free. */
    private static final double CALLER_FRACTION = 0.3;
    /** Part of the heap for backend servers: a complete response is copied once. */
    private static final double BACKEND_FRACTION = 0.15;

    /** Returns the shares of a router on a VM with {@code vmMemoryMb}, by the limit of this process's heap. */
    static MemoryShares ofThisProcess(long vmMemoryMb) {
        return of(
                vmMemoryMb,
                ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getMax());
    }

    /**
     * Returns the shares of a router.
     *
     * @param vmMemoryMb the memory of the VM, in megabytes; 0 if it is not known
     * @param maxHeapBytes the largest size of the heap, in bytes
     */
    static MemoryShares of(long vmMemoryMb, long maxHeapBytes) {
        long heapBytes =
                vmMemoryMb > 0 ? Math.min(maxHeapBytes, (long) (HEAP_FRACTION * (vmMemoryMb << 20))) : maxHeapBytes;
        return new MemoryShares((long) (CALLER_FRACTION * heapBytes), (long) (BACKEND_FRACTION * heapBytes));
    }
}
