/** The messages between routers. */
package org.daisyscale.core.peer;
