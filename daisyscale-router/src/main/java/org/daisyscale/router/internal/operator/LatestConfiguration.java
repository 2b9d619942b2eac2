package org.daisyscale.router.internal.operator;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.daisyscale.core.document.Configuration;

/** Holds the newest configuration in force. Its revision never decreases. Safe for use by several threads. */
public final class LatestConfiguration {
    private final AtomicReference<Configuration> newest = new AtomicReference<>();

    /** Replaces the held configuration by {@code configuration}, unless the held one has a higher revision. */
    public void update(Configuration configuration) {
        newest.accumulateAndGet(configuration, LatestConfiguration::newer);
    }

    private static Configuration newer(Configuration held, Configuration candidate) {
        return held != null && held.revision() > candidate.revision() ? held : candidate;
    }

    /** Returns the newest configuration, or empty before the first one. */
    public Optional<Configuration> get() {
        return Optional.ofNullable(newest.get());
    }
}
