package org.daisyscale.router.internal.platform;

import java.time.Duration;
import java.util.Optional;
import org.daisyscale.codec.json.JsonCodec;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.error.DaisyscaleException;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.platform.PlatformService;
import org.daisyscale.core.platform.WriteOutcome;
import org.daisyscale.router.internal.platform.VersionCache.Versions;
import org.daisyscale.router.internal.ring.Ring;

/**
 * Runs the duty {@code platform-write}: writes maps and configurations, each by one compare-and-swap against the
 * preceding value. After a lost response it reads the stored value back and compares the write ids. A write is never
 * sent twice. Not thread-safe; confined to the duty's thread.
 */
final class PlatformWriteDuty {
    private static final Duration WAIT = Duration.ofSeconds(10);
    private static final int MAX_READ_BACKS = 5;
    private static final long READ_BACK_PAUSE_MILLIS = 200;

    private final PlatformService platform;
    private final JsonCodec codec;
    private final PlatformReader reader;
    private final VersionCache versionCache;
    private final StoredValueType<OwnershipMap> mapType;
    private final StoredValueType<Configuration> configurationType;
    private final Ring<Action> actions;
    private final Ring<Event> events;

    PlatformWriteDuty(PlatformContext context, Ring<Action> actions) {
        this.platform = context.platform();
        this.codec = context.codec();
        this.reader = context.reader();
        this.versionCache = context.versionCache();
        this.mapType = context.mapType();
        this.configurationType = context.configurationType();
        this.actions = actions;
        this.events = context.events();
    }

    /** Performs the next write, if one arrives in time. */
    void step() throws InterruptedException {
        Optional<Action> next = actions.poll(WAIT);
        if (next.isEmpty()) {
            return;
        }
        if (next.get() instanceof Action.WriteMap write) {
            write(mapType, write.map());
        } else if (next.get() instanceof Action.WriteConfiguration write) {
            write(configurationType, write.configuration());
        }
    }

    private <T> void write(StoredValueType<T> type, T value) throws InterruptedException {
        WriteOutcome outcome = send(type, value);
        if (outcome == WriteOutcome.UNKNOWN) {
            outcome = readBack(type, value);
        }
        events.put(type.writeEvent().apply(type.writeId().apply(value), outcome));
    }

    private <T> WriteOutcome send(StoredValueType<T> type, T value) throws InterruptedException {
        try {
            Optional<Versions> previous =
                    previousVersions(type, type.valueVersion().applyAsLong(value) - 1);
            if (previous.isEmpty()) {
                return WriteOutcome.REFUSED;
            }
            byte[] bytes = codec.write(value);
            versionCache.invalidate(type.key(), previous.get());
            return platform.compareAndSwap(type.key(), previous.get().storeVersion(), bytes);
        } catch (DaisyscaleException e) {
            reader.reportFailure(e);
            return WriteOutcome.REFUSED;
        }
    }

    private <T> Optional<Versions> previousVersions(StoredValueType<T> type, long valueVersion)
            throws InterruptedException {
        Optional<Versions> cached = versionCache.get(type.key()).filter(seen -> seen.valueVersion() == valueVersion);
        if (cached.isPresent()) {
            return cached;
        }
        reader.read(type);
        return versionCache.get(type.key()).filter(seen -> seen.valueVersion() == valueVersion);
    }

    private <T> WriteOutcome readBack(StoredValueType<T> type, T value) throws InterruptedException {
        WriteOutcome outcome = WriteOutcome.UNKNOWN;
        for (int i = 0; i < MAX_READ_BACKS && outcome == WriteOutcome.UNKNOWN; i++) {
            Thread.sleep(i * READ_BACK_PAUSE_MILLIS);
            outcome = readBackOnce(type, value);
        }
        return outcome;
    }

    private <T> WriteOutcome readBackOnce(StoredValueType<T> type, T value) throws InterruptedException {
        try {
            return reader.read(type).map(stored -> compare(type, stored, value)).orElse(WriteOutcome.UNKNOWN);
        } catch (DaisyscaleException e) {
            reader.reportFailure(e);
            return WriteOutcome.UNKNOWN;
        }
    }

    /**
     * Returns the outcome of a write whose response was lost, as far as the stored value shows it. An earlier value
     * shows nothing, since the write may still be in flight. A later value shows nothing either, since it may have
     * replaced the written one.
     */
    private static <T> WriteOutcome compare(StoredValueType<T> type, T stored, T written) {
        if (type.writeId().apply(stored).equals(type.writeId().apply(written))) {
            return WriteOutcome.ACCEPTED;
        }
        boolean isSameVersion =
                type.valueVersion().applyAsLong(stored) == type.valueVersion().applyAsLong(written);
        return isSameVersion ? WriteOutcome.REFUSED : WriteOutcome.UNKNOWN;
    }
}
