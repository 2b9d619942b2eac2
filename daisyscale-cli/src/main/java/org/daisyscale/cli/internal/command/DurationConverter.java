package org.daisyscale.cli.internal.command;

import java.time.Duration;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/**
 * Parses durations such as {@code 250ms}, {@code 60s}, {@code 10m}, {@code 6h} and {@code 3d}, from 1 ms to 30 days.
 * Stateless and thread-safe.
 */
final class DurationConverter implements ITypeConverter<Duration> {
    private static final Pattern TEXT = Pattern.compile("([0-9]{1,9})(ms|s|m|h|d)");
    private static final Map<String, Duration> UNITS = Map.of(
            "ms", Duration.ofMillis(1),
            "s", Duration.ofSeconds(1),
            "m", Duration.ofMinutes(1),
            "h", Duration.ofHours(1),
            "d", Duration.ofDays(1));
    private static final Duration SHORTEST_PERIOD = Duration.ofMillis(100);
    private static final Duration LONGEST = Duration.ofDays(30);

    /** Rejects a sampling period that is short enough to overload the routers. */
    static void checkPeriod(Duration period) {
        if (period.compareTo(SHORTEST_PERIOD) < 0) {
            throw new CliException(CliErrorCode.WRONG_USE, "--every expects at least 100ms");
        }
    }

    @Override
    public Duration convert(String text) {
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            throw new TypeConversionException("expects a duration such as 250ms, 60s, 10m, 6h or 3d");
        }
        Duration duration = UNITS.get(matcher.group(2)).multipliedBy(Long.parseLong(matcher.group(1)));
        if (duration.isZero() || duration.compareTo(LONGEST) > 0) {
            throw new TypeConversionException("expects a duration from 1ms to 30d");
        }
        return duration;
    }
}
