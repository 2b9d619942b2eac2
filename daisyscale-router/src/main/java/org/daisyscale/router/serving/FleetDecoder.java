package org.daisyscale.router.serving;

import java.util.Optional;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.RoutingTable;

/**
 * Decodes what operators and servers write to the platform's store. An item that cannot be decoded yields empty, and
 * the reason is logged. Implementations are stateless.
 */
public interface FleetDecoder {

    /** Returns the prefix of the items that operators write. */
    String operatorPrefix();

    /** Returns the prefix of the items that servers write. */
    String serverPrefix();

    /** Returns the configuration if {@code item} holds one. */
    Optional<RoutingTable> table(Item item);

    /** Returns the data centre that {@code key} asks to evacuate, if it is such a key. */
    Optional<String> evacuatedDataCentre(String key);

    /** Returns the server that {@code item} registers. */
    Optional<BackendServer> server(Item item);

    /** Returns the id of the server that registers at {@code key}. */
    String serverId(String key);
}
