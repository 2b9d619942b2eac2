/** JSON bodies of the shell's own HTTP calls. */
package org.daisyscale.router.internal.json;
