/** Dispatch ranges: request queues, backend servers' slots, and the ledger of requests that must not run twice. */
package org.daisyscale.core.internal.dispatch;
