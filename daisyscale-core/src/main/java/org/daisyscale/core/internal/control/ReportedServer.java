package org.daisyscale.core.internal.control;

import org.daisyscale.core.internal.ownership.RangeKey;
import org.daisyscale.core.peer.PeerMessage;

/**
 * A dispatcher's latest report about one backend server. Immutable.
 *
 * @param range the dispatch range whose dispatcher sent the report
 * @param view the server as the dispatcher sees it
 * @param receivedNanos when the report arrived, on this router's monotonic clock, in nanoseconds
 */
public record ReportedServer(RangeKey range, PeerMessage.ServerView view, long receivedNanos) {}
