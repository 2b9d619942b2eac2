package org.daisyscale.core.internal.ownership;

import org.daisyscale.core.Moment;
import org.daisyscale.core.TimingSettings;

/**
 * Derives authority from the evidence of a majority of the seats. It persists during an outage of the platform's
 * service. Stateless except for the witness that it reads. Not thread-safe; confined to the core thread.
 */
public final class WitnessAuthority implements RenewalAuthority {
    private final Witness witness;
    private final TimingSettings timing;

    /** Creates the authority that rests on the evidence of {@code witness}. */
    public WitnessAuthority(Witness witness, TimingSettings timing) {
        this.witness = witness;
        this.timing = timing;
    }

    @Override
    public long endsNanos(Moment now) {
        return witness.authorityEndsNanos(now);
    }

    @Override
    public boolean isConfirmed(long version, Moment now) {
        return witness.isConfirmed(version, now);
    }

    @Override
    public long periodMillis() {
        return timing.witnessPeriodMillis();
    }
}
