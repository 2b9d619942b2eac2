package org.daisyscale.core.internal.configuration;

import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.document.ServicePolicy;

/**
 * The service and kind that apply to a request, and the hash of its key. Immutable.
 *
 * @param service the service
 * @param kind the kind of request
 * @param keyHash the hash of the key; -1 if the kind has no key
 */
public record ResolvedRequest(ServicePolicy service, RequestKind kind, long keyHash) {}
