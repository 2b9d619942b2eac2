package org.daisyscale.router.internal.vmlist;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.daisyscale.router.internal.http.HttpCallException;
import org.daisyscale.router.internal.http.HttpCaller;
import org.daisyscale.router.internal.http.HttpReply;

/**
 * A source of the platform's list of VMs. Implementations are safe for use by several threads.
 *
 * <pre>{@code
 * VmListSource source = VmListSource.http(caller, URI.create("http://10.0.0.5:8080/vms"));
 * byte[] json = source.read();
 * }</pre>
 */
public interface VmListSource {

    /**
     * Returns the list as JSON.
     *
     * @throws VmListException if the list can't be read
     */
    byte[] read();

    /** Returns a source of a list that never changes, such as for a single router process. */
    static VmListSource inline(String json) {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        return () -> bytes;
    }

    /** Returns a source that gets the list at {@code uri} with {@code caller}, which it doesn't close. */
    static VmListSource http(HttpCaller caller, URI uri) {
        return () -> get(caller, uri);
    }

    private static byte[] get(HttpCaller caller, URI uri) {
        try {
            HttpReply reply = caller.get(uri);
            if (!reply.isSuccess()) {
                String detail = "GET %s returned status %d".formatted(uri, reply.status());
                throw new VmListException(VmListErrorCode.UNREACHABLE, detail, null);
            }
            return reply.body();
        } catch (HttpCallException e) {
            throw new VmListException(VmListErrorCode.UNREACHABLE, e.getMessage(), e);
        }
    }
}
