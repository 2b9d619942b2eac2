package org.daisyscale.cli.internal.command;

import java.nio.file.Path;
import java.util.List;
import picocli.CommandLine.Option;

/** Options for the routers that a command calls. Set by picocli. */
final class RouterOptions {
    static final String TOKEN_VARIABLE = "DAISYSCALE_OPERATOR_TOKEN";

    private final CliContext context;

    @Option(
            names = "--router",
            paramLabel = "URL",
            split = ",",
            defaultValue = "${env:DAISYSCALE_ROUTERS}",
            description = "Operator addresses of routers, tried in turn (environment: DAISYSCALE_ROUTERS).")
    private List<String> addresses;

    @Option(
            names = "--operator-token-file",
            paramLabel = "FILE",
            defaultValue = "${env:DAISYSCALE_OPERATOR_TOKEN_FILE}",
            description =
                    "File with the operator token (environment: DAISYSCALE_OPERATOR_TOKEN_FILE, or the token itself"
                            + " in DAISYSCALE_OPERATOR_TOKEN).")
    private Path tokenFile;

    @Option(
            names = "--answer-limit-millis",
            paramLabel = "MILLIS",
            defaultValue = "5000",
            description = "How long to wait for a router's answer, from 100 to 600000 (default: ${DEFAULT-VALUE}).")
    private long answerLimitMillis;

    RouterOptions(CliContext context) {
        this.context = context;
    }

    /** Opens a connection that sends the operator token. */
    RouterConnection open() {
        String token = OperatorToken.read(tokenFile, context.environment().get(TOKEN_VARIABLE));
        return RouterConnection.open(addresses, token, answerLimitMillis);
    }

    /** Opens a connection for calls that need no token. */
    RouterConnection openWithoutToken() {
        return RouterConnection.open(addresses, "", answerLimitMillis);
    }

    /** Opens a connection to other routers; uses the token of these options if the others have none of their own. */
    RouterConnection openOthers(List<String> otherAddresses, Path otherTokenFile, String otherToken) {
        String ownToken = context.environment().get(TOKEN_VARIABLE);
        String token = otherTokenFile == null && otherToken == null
                ? OperatorToken.read(tokenFile, ownToken)
                : OperatorToken.read(otherTokenFile, otherToken);
        return RouterConnection.open(otherAddresses, token, answerLimitMillis);
    }
}
