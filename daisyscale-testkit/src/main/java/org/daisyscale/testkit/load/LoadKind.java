package org.daisyscale.testkit.load;

/**
 * One kind of request in a plan. Immutable.
 *
 * @param name the name in results
 * @param method the HTTP method
 * @param job the job name; empty for requests that go to a backend server directly
 * @param pathTemplate the path behind the job name; {@code {key}} stands for the key
 * @param weight how often it comes, against the other kinds
 * @param keyCount how many keys there are
 * @param zipfExponent the exponent of Zipf's law over the keys; 0 for uniform
 * @param bodyBytes the size of the body
 * @param hasId whether each request carries an Idempotency-Key
 */
public record LoadKind(
        String name,
        String method,
        String job,
        String pathTemplate,
        double weight,
        int keyCount,
        double zipfExponent,
        int bodyBytes,
        boolean hasId) {}
