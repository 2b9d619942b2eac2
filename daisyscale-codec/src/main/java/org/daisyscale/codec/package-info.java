/** Codecs: MessagePack for peer messages, JSON for the platform and HTTP bodies, YAML for documents. */
package org.daisyscale.codec;
