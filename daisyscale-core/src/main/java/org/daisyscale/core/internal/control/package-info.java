/** Contains the controller, which plans the next ownership map and writes it. */
package org.daisyscale.core.internal.control;
