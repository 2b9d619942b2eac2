/** The stand-in for a backend server. */
package org.daisyscale.testkit.backend;
