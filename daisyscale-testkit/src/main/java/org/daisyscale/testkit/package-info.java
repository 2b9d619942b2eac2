/** Stand-ins, load program and bench; never shipped. */
package org.daisyscale.testkit;
