/** The demonstration of the whole path. */
package org.daisyscale.testkit.demo;
