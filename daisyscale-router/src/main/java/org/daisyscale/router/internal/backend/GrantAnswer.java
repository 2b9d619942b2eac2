package org.daisyscale.router.internal.backend;

/**
 * A backend server's answer to a grant. Immutable.
 *
 * @param isAccepted whether the server accepted the grant
 * @param mapVersion the highest map version that the server has seen
 */
record GrantAnswer(boolean isAccepted, long mapVersion) {}
