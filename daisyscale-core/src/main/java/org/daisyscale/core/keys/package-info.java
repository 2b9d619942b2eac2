/** The controller of keys, which decides in one router at a time which server owns which keys. */
package org.daisyscale.core.keys;
