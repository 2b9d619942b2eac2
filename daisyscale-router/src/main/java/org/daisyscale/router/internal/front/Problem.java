package org.daisyscale.router.internal.front;

/**
 * The body of the reply to a rejected request, {@code application/problem+json}. Immutable.
 *
 * @param type a URI that names the kind of problem
 * @param title the summary of the error code
 * @param status the HTTP status
 * @param code the error code, DSC-nnnn
 * @param detail the circumstances and what to do
 */
public record Problem(String type, String title, int status, String code, String detail) {
    public static final String MEDIA_TYPE = "application/problem+json";
}
