/** Encodes and decodes JSON for the platform's service and HTTP bodies. */
package org.daisyscale.codec.json;
