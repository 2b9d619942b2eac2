package org.daisyscale.router.internal.serving;

import java.util.function.Consumer;
import org.daisyscale.router.internal.log.EventReporter;

/**
 * Where a duty that follows a prefix reports what it does. Immutable.
 *
 * @param log receives where the view comes from, and what was skipped
 * @param results receives what became of each update of the controller
 */
record WatchReports(EventReporter log, Consumer<UpdateResult> results) {}
