package org.daisyscale.router.serving;

/**
 * The protocols of one platform, as an adapter describes them. Immutable.
 *
 * @param callers the protocol of callers
 * @param backends the protocol of backend servers
 * @param store the protocol of the store
 * @param fleet decodes what operators and servers write to the store
 */
public record PlatformDialect(CallerDialect callers, BackendDialect backends, StoreDialect store, FleetDecoder fleet) {}
