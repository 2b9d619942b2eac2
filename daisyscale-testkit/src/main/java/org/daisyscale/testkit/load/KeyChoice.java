package org.daisyscale.testkit.load;

import java.util.SplittableRandom;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;

/** Which key the next request is for. Implementations are used by one thread. */
public interface KeyChoice {

    /** The number of the next key, from 0. */
    int next(SplittableRandom random);

    /** Each of {@code keyCount} keys as often as another, or by Zipf's law when {@code zipfExponent} is above 0. */
    static KeyChoice of(int keyCount, double zipfExponent) {
        return zipfExponent > 0 ? new Zipf(keyCount, zipfExponent) : random -> random.nextInt(keyCount);
    }

    /** Key n with a weight of 1 / (n + 1) to the exponent's power. */
    final class Zipf implements KeyChoice {
        private final BorrowedRandom source = new BorrowedRandom();
        private final SharedStateDiscreteSampler sampler;

        Zipf(int keyCount, double exponent) {
            this.sampler = RejectionInversionZipfSampler.of(source, keyCount, exponent);
        }

        @Override
        public int next(SplittableRandom random) {
            source.lend(random);
            return sampler.sample() - 1;
        }
    }
}
