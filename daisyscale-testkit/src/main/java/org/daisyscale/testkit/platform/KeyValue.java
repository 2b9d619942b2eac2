package org.daisyscale.testkit.platform;

/**
 * A key with its value at one revision. Immutable.
 *
 * @param key the key
 * @param valueBase64 the value, in base64 as it came
 * @param createRevision the revision that created the key; 0 when there is none
 * @param modRevision the revision that wrote the value
 * @param version the writes since the key was created
 * @param leaseId the lease that the key ends with; 0 for none
 */
record KeyValue(String key, String valueBase64, long createRevision, long modRevision, long version, long leaseId) {

    static KeyValue absent(String key) {
        return new KeyValue(key, "", 0, 0, 0, 0);
    }

    KeyValue rewritten(String newValueBase64, long revision, long newLeaseId) {
        long created = createRevision == 0 ? revision : createRevision;
        return new KeyValue(key, newValueBase64, created, revision, version + 1, newLeaseId);
    }
}
