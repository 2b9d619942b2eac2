/** Request path without a dispatcher: each router assigns the requests that it receives to backend servers itself. */
package org.daisyscale.core.serving;
