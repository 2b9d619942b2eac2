/** The public API of the decision core, which takes events and returns actions. */
package org.daisyscale.core;
