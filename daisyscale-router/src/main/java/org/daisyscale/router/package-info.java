/** The router process: the core, and the duties around it, each on a thread of its own. */
package org.daisyscale.router;
