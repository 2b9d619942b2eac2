/** A small HTTP/1.1 listener on Netty and the messages that the stand-ins exchange over it. */
package org.daisyscale.testkit.http;
