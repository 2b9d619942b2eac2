/** Service-level burn: computation from counters, the sample file and the report page. */
package org.daisyscale.cli.internal.burn;
