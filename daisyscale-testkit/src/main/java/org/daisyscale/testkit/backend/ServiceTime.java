package org.daisyscale.testkit.backend;

import java.util.SplittableRandom;
import org.daisyscale.testkit.error.TestkitErrorCode;
import org.daisyscale.testkit.error.TestkitException;

/** How long a request runs. Implementations are immutable. */
public interface ServiceTime {

    /** The next time, in milliseconds. */
    double nextMillis(SplittableRandom random);

    /**
     * The time that {@code text} names: {@code 5} for always 5 ms, {@code 5:exponential} for 5 ms in the mean.
     *
     * @throws TestkitException when the text is neither
     */
    static ServiceTime parse(String text) {
        String[] parts = text.split(":", 2);
        try {
            double meanMillis = Double.parseDouble(parts[0]);
            if (parts.length == 1) {
                return new Fixed(meanMillis);
            }
            if (parts[1].equals("exponential")) {
                return new Exponential(meanMillis);
            }
        } catch (NumberFormatException e) {
            throw new TestkitException(TestkitErrorCode.BAD_SETTING, "service time " + text, e);
        }
        throw new TestkitException(TestkitErrorCode.BAD_SETTING, "service time " + text);
    }

    /** Always the same time. */
    record Fixed(double millis) implements ServiceTime {
        @Override
        public double nextMillis(SplittableRandom random) {
            return millis;
        }
    }

    /** An exponential distribution. */
    record Exponential(double meanMillis) implements ServiceTime {
        @Override
        public double nextMillis(SplittableRandom random) {
            return -meanMillis * Math.log1p(-random.nextDouble());
        }
    }
}
