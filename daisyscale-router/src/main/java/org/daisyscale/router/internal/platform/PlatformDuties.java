package org.daisyscale.router.internal.platform;

import java.time.Duration;
import org.daisyscale.codec.json.JsonCodec;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.platform.PlatformService;
import org.daisyscale.core.platform.WriteOutcome;
import org.daisyscale.router.internal.duty.DutyThread;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.tinylog.Logger;

/**
 * Runs the duties that call the platform's service: {@code platform-watch}, {@code platform-read},
 * {@code platform-write} and {@code platform-lease}. Each has its own thread, so that a slow write does not delay the
 * lease. Thread-safe; {@link #handle} never blocks.
 *
 * <pre>{@code
 * try (PlatformDuties duties = new PlatformDuties(platform, codec, "region-1", "trial", "r1", 1_500, events)) {
 *     duties.handle(new Action.ReadMap());
 * }
 * }</pre>
 */
public final class PlatformDuties implements AutoCloseable {
    private static final int WRITE_CAPACITY = 64;
    private static final int LEASE_CAPACITY = 8;

    private final Ring<Event> events;
    private final Ring<Action> writes = new ArrayRing<>("platform-write", WRITE_CAPACITY);
    private final Ring<Action> leaseCalls = new ArrayRing<>("platform-lease", LEASE_CAPACITY);
    private final PlatformReadDuty readDuty;
    private final DutyThread watchThread;
    private final DutyThread readThread;
    private final DutyThread writeThread;
    private final DutyThread leaseThread;

    /**
     * Starts the duties. The caller closes {@code platform}, after it has closed this object.
     *
     * @param controlLeaseMillis the time to live of the control lease, in milliseconds
     * @param events the ring that receives the results
     */
    public PlatformDuties(
            PlatformService platform,
            JsonCodec codec,
            String region,
            String environment,
            String routerId,
            long controlLeaseMillis,
            Ring<Event> events) {
        this.events = events;
        PlatformContext context = PlatformContext.of(platform, codec, PlatformKeys.of(region, environment), events);
        this.readDuty = new PlatformReadDuty(context);
        PlatformWriteDuty writeDuty = new PlatformWriteDuty(context, writes);
        PlatformWatchDuty watchDuty = new PlatformWatchDuty(context);
        PlatformLeaseDuty leaseDuty =
                new PlatformLeaseDuty(context, routerId, Duration.ofMillis(controlLeaseMillis), leaseCalls);
        this.watchThread = DutyThread.start("platform-watch", watchDuty::step);
        this.readThread = DutyThread.start("platform-read", readDuty::step);
        this.writeThread = DutyThread.start("platform-write", writeDuty::step);
        this.leaseThread = DutyThread.start("platform-lease", leaseDuty::step);
    }

    /**
     * Queues an action for the platform's service. When the ring of writes is full, a write ends with
     * {@link WriteOutcome#REFUSED}, since it was never sent. When the ring of lease calls is full, a lease call is
     * dropped, since others are pending. A read is never dropped: it is merged with a pending read of the same kind.
     *
     * @throws IllegalArgumentException if the action is not for the platform's service
     */
    public void handle(Action action) {
        if (action instanceof Action.WriteMap write) {
            queueWrite(action, new Event.MapWriteEnded(write.map().writeId(), WriteOutcome.REFUSED));
        } else if (action instanceof Action.WriteConfiguration write) {
            String writeId = write.configuration().writeId();
            queueWrite(action, new Event.ConfigurationWriteEnded(writeId, WriteOutcome.REFUSED));
        } else if (action instanceof Action.ReadMap || action instanceof Action.ReadConfiguration) {
            readDuty.request(action);
        } else if (action instanceof Action.HoldControlLease || action instanceof Action.ReleaseControlLease) {
            queueLeaseCall(action);
        } else {
            throw new IllegalArgumentException("not an action for the platform's service: " + action);
        }
    }

    private void queueWrite(Action action, Event notSentEvent) {
        if (writes.offer(action)) {
            return;
        }
        log(PlatformErrorCode.WRITE_NOT_SENT, action);
        if (!events.offer(notSentEvent)) {
            log(PlatformErrorCode.ACTION_DROPPED, action);
        }
    }

    private void queueLeaseCall(Action action) {
        if (!leaseCalls.offer(action)) {
            log(PlatformErrorCode.ACTION_DROPPED, action);
        }
    }

    private static void log(PlatformErrorCode code, Action action) {
        Logger.warn(
                "platform-ring-full code={} action={}",
                code.code(),
                action.getClass().getSimpleName());
    }

    @Override
    public void close() {
        watchThread.close();
        readThread.close();
        writeThread.close();
        leaseThread.close();
    }
}
