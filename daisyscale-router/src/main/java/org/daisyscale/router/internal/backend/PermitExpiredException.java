package org.daisyscale.router.internal.backend;

/** Thrown when the time to send an order or a grant has passed immediately before sending. Immutable. */
final class PermitExpiredException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    PermitExpiredException(String subject) {
        super("the time to send " + subject + " has passed; it was not sent");
    }
}
