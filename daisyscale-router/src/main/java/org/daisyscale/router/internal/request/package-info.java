/** Holds callers' requests and their bodies from arrival to reply. */
package org.daisyscale.router.internal.request;
