package org.daisyscale.router.internal.vmlist;

import java.time.Duration;
import org.daisyscale.codec.json.JsonCodec;
import org.daisyscale.core.Event;
import org.daisyscale.core.error.ErrorCode;
import org.daisyscale.router.internal.duty.DutyThread;
import org.daisyscale.router.internal.log.LogLimiter;
import org.daisyscale.router.internal.ring.Ring;
import org.tinylog.Logger;

/**
 * The duty {@code vm-list}: reads the list of VMs periodically and passes it to the core. If the list can't be read or
 * used, the duty logs the problem and passes nothing on, so that the last list stays in use. Closing the duty ends its
 * thread.
 *
 * <pre>{@code
 * try (VmListDuty duty = VmListDuty.start(source, codec, 1_000, events)) {
 *     stopSignal.awaitStopRequest();
 * }
 * }</pre>
 */
public final class VmListDuty implements AutoCloseable {
    private static final Duration LOG_PERIOD = Duration.ofMinutes(1);

    private final VmListSource source;
    private final VmListParser parser;
    private final long intervalMillis;
    private final Ring<Event> events;
    private final LogLimiter limiter = new LogLimiter(LOG_PERIOD);
    private DutyThread thread;

    private VmListDuty(VmListSource source, JsonCodec codec, long intervalMillis, Ring<Event> events) {
        this.source = source;
        this.parser = new VmListParser(codec);
        this.intervalMillis = intervalMillis;
        this.events = events;
    }

    /** Starts a duty that reads {@code source}, pausing {@code intervalMillis} milliseconds after each read. */
    public static VmListDuty start(VmListSource source, JsonCodec codec, long intervalMillis, Ring<Event> events) {
        VmListDuty duty = new VmListDuty(source, codec, intervalMillis, events);
        duty.thread = DutyThread.start("vm-list", duty::step);
        return duty;
    }

    private void step() throws InterruptedException {
        readOnce();
        Thread.sleep(intervalMillis);
    }

    private void readOnce() throws InterruptedException {
        try {
            VmListParser.Result result = parser.parse(source.read());
            result.problems().forEach(problem -> log(VmListErrorCode.INVALID_ENTRY, problem));
            events.put(new Event.VmListRead(result.vms()));
        } catch (VmListException e) {
            log(e.errorCode(), e.getMessage());
        } catch (RuntimeException e) {
            Logger.error(e, "vm-list-read-failed");
        }
    }

    private void log(ErrorCode code, String detail) {
        if (limiter.isDue(code.code() + detail)) {
            Logger.warn("vm-list-problem code={}: {}", code.code(), detail);
        }
    }

    @Override
    public void close() {
        thread.close();
    }
}
