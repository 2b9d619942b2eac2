package org.daisyscale.cli.internal.command;

import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;
import org.daisyscale.cli.internal.router.HttpTransport;
import org.daisyscale.cli.internal.router.OperatorApi;
import org.daisyscale.cli.internal.router.RatpackOperatorApi;
import org.daisyscale.cli.internal.router.RouterFleet;

/**
 * The routers that a command calls and the HTTP transport, which the connection owns.
 *
 * @param fleet the routers
 * @param transport the transport, closed with the connection
 */
record RouterConnection(RouterFleet fleet, HttpTransport transport) implements AutoCloseable {
    private static final long MIN_LIMIT_MILLIS = 100;
    private static final long MAX_LIMIT_MILLIS = 600_000;
    private static final int MAX_ROUTERS = 1_000;

    /** Creates clients for the routers at {@code addresses}, which share one transport; calls no router yet. */
    static RouterConnection open(List<String> addresses, String token, long answerLimitMillis) {
        if (addresses == null || addresses.isEmpty() || addresses.size() > MAX_ROUTERS) {
            throw wrongUse("give 1 to %d routers with --router or DAISYSCALE_ROUTERS".formatted(MAX_ROUTERS));
        }
        if (answerLimitMillis < MIN_LIMIT_MILLIS || answerLimitMillis > MAX_LIMIT_MILLIS) {
            throw wrongUse("--answer-limit-millis expects %d to %d".formatted(MIN_LIMIT_MILLIS, MAX_LIMIT_MILLIS));
        }
        List<URI> uris = addresses.stream().map(RouterConnection::address).toList();
        HttpTransport transport = new HttpTransport(Duration.ofMillis(answerLimitMillis));
        List<OperatorApi> routers = new ArrayList<>();
        uris.forEach(uri -> routers.add(new RatpackOperatorApi(transport, uri, token)));
        return new RouterConnection(new RouterFleet(routers), transport);
    }

    private static URI address(String text) {
        try {
            URI uri = new URI(text.strip());
            if (isAddress(uri)) {
                return uri;
            }
        } catch (URISyntaxException notAnAddress) {
            throw wrongUse("'%s' is not a router address; give one such as http://10.0.0.1:9001".formatted(text));
        }
        throw wrongUse("'%s' is not a router address; give one such as http://10.0.0.1:9001".formatted(text));
    }

    private static boolean isAddress(URI uri) {
        boolean isHttp = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
        boolean hasNoPath = uri.getRawPath() != null
                && (uri.getRawPath().isEmpty() || uri.getRawPath().equals("/"));
        return isHttp
                && hasNoPath
                && uri.getHost() != null
                && uri.getRawUserInfo() == null
                && uri.getRawQuery() == null
                && uri.getRawFragment() == null;
    }

    private static CliException wrongUse(String detail) {
        return new CliException(CliErrorCode.WRONG_USE, detail);
    }

    @Override
    public void close() {
        transport.close();
    }
}
