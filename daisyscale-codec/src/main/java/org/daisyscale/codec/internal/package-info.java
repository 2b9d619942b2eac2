/** Code shared by the codecs. */
package org.daisyscale.codec.internal;
