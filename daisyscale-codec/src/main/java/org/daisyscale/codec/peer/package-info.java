/** Encodes and decodes the messages between routers as MessagePack. */
package org.daisyscale.codec.peer;
