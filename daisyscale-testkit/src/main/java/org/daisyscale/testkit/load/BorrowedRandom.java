package org.daisyscale.testkit.load;

import java.util.SplittableRandom;
import org.apache.commons.rng.UniformRandomProvider;

/** Lends the JDK's random numbers to a sampler of another library. Used by one thread. */
final class BorrowedRandom implements UniformRandomProvider {
    private SplittableRandom random = new SplittableRandom(0);

    void lend(SplittableRandom lent) {
        random = lent;
    }

    @Override
    public long nextLong() {
        return random.nextLong();
    }
}
