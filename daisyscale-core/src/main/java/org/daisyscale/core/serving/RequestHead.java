package org.daisyscale.core.serving;

/**
 * The properties of a request that routing decisions depend on; the body stays outside the core. Immutable.
 *
 * @param host the value of the Host header
 * @param path the path without the query
 * @param timeLeftMillis how long the caller waits, in milliseconds; 0 if it did not say
 * @param key the key of a sharded service; {@link #NO_KEY} for none
 * @param bodyBytes the size of the body, in bytes
 * @param logId identifies the request in log lines
 * @param apiKey the digest of the caller's API key; {@link ApiKeyDigest#NONE} unless it sent exactly one
 */
public record RequestHead(
        String host, String path, long timeLeftMillis, int key, int bodyBytes, String logId, ApiKeyDigest apiKey) {
    public static final int NO_KEY = -1;

    /** Creates the head of a request without an API key. */
    public RequestHead(String host, String path, long timeLeftMillis, int key, int bodyBytes, String logId) {
        this(host, path, timeLeftMillis, key, bodyBytes, logId, ApiKeyDigest.NONE);
    }
}
