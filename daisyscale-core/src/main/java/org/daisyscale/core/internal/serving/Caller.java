package org.daisyscale.core.internal.serving;

import java.util.Optional;
import org.daisyscale.core.serving.CallerIdentity;
import org.daisyscale.core.serving.Organisation;

/**
 * The caller of a request that may be served. Immutable.
 *
 * @param identity what backend servers are told about the caller
 * @param organisation the caller's organisation; empty on public routes and without organisations
 */
record Caller(CallerIdentity identity, Optional<Organisation> organisation) {
    static final Caller UNVERIFIED = new Caller(CallerIdentity.UNVERIFIED, Optional.empty());
    static final Caller PUBLIC = new Caller(CallerIdentity.PUBLIC, Optional.empty());

    static Caller of(Organisation organisation) {
        return new Caller(CallerIdentity.of(organisation), Optional.of(organisation));
    }
}
