package org.daisyscale.cli.internal.router;

import java.util.List;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.core.document.ConfigurationChange;
import org.daisyscale.core.error.DaisyscaleException;

/** Thrown when a change is rejected because the configuration has changed since its base revision. Immutable. */
public final class ConfigurationRaceException extends DaisyscaleException {
    private static final long serialVersionUID = 1L;

    private final long currentRevision;
    private final transient List<ConfigurationChange> newerChanges;

    ConfigurationRaceException(long baseRevision, long currentRevision, List<ConfigurationChange> history) {
        super(
                CliErrorCode.CONFIGURATION_RACE,
                "your change started from revision %d, in force is %d".formatted(baseRevision, currentRevision),
                null);
        this.currentRevision = currentRevision;
        this.newerChanges = history.stream()
                .filter(change -> change.revision() > baseRevision)
                .toList();
    }

    /** Returns the revision in force. */
    public long currentRevision() {
        return currentRevision;
    }

    /** Returns the changes after the base revision of the rejected change, newest first. */
    public List<ConfigurationChange> newerChanges() {
        return newerChanges;
    }
}
