/** Assembles the components of the core and provides their timers and outbox. */
package org.daisyscale.core.internal;
