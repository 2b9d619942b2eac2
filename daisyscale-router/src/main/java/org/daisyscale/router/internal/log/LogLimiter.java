package org.daisyscale.router.internal.log;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.time.Duration;

/**
 * Limits repeated log lines to one per subject and period. Remembers a bounded number of subjects and evicts the
 * oldest beyond it. Safe for use by several threads.
 */
public final class LogLimiter {
    private static final int MAX_SUBJECTS = 1_000;

    private final Cache<String, Boolean> recentSubjects;

    /** Creates a limiter that allows one line per subject in each {@code period}. */
    public LogLimiter(Duration period) {
        this.recentSubjects = CacheBuilder.newBuilder()
                .expireAfterWrite(period)
                .maximumSize(MAX_SUBJECTS)
                .build();
    }

    /** Returns whether to log a line about {@code subject} now; if so, returns false for the rest of the period. */
    public boolean isDue(String subject) {
        return recentSubjects.asMap().putIfAbsent(subject, Boolean.TRUE) == null;
    }
}
