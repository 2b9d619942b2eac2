package org.daisyscale.router.internal.following;

import java.util.function.Consumer;
import org.daisyscale.core.following.UpdateResult;
import org.daisyscale.router.internal.log.EventReporter;

/**
 * Where a duty that follows a prefix reports what it does. Immutable.
 *
 * @param log receives where the view comes from, what was skipped and what was sent
 * @param results receives what became of each update of the controller
 * @param currentNanos receives when the view was last known to lack nothing, by the monotonic clock
 */
public record FollowReports(EventReporter log, Consumer<UpdateResult> results, Consumer<Long> currentNanos) {}
