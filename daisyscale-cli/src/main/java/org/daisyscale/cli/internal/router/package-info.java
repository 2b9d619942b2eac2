/** Client of the routers' operator API over HTTP. */
package org.daisyscale.cli.internal.router;
