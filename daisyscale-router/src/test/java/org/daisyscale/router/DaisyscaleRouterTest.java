package org.daisyscale.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import org.daisyscale.core.Action;
import org.daisyscale.router.internal.assembly.NoLinks;
import org.daisyscale.router.internal.assembly.OneEventLinks;
import org.daisyscale.router.internal.assembly.ScriptedCore;
import org.daisyscale.router.internal.operator.DocumentParser;
import org.junit.jupiter.api.Test;

class DaisyscaleRouterTest {
    private static final Map<String, String> ENVIRONMENT = Map.of(
            "DAISYSCALE_OPERATOR_TOKEN", "token-of-the-operators",
            "DAISYSCALE_PEER_SECRET", "secret-of-the-routers",
            "DAISYSCALE_PLATFORM_URL", "embedded",
            "DAISYSCALE_VM_LIST_INLINE", "[]",
            "DAISYSCALE_DATA_CENTRE", "dc1");

    private static final String[] ANY_PORTS = {
        "--caller-host=127.0.0.1", "--caller-port=0", "--operator-port=0", "--peer-host=127.0.0.1", "--peer-port=0"
    };

    private final StringWriter output = new StringWriter();
    private final StringWriter errors = new StringWriter();
    private final DaisyscaleRouter router = new DaisyscaleRouter(
            settings -> new ScriptedCore((event, now) -> List.of()),
            new NoLinks(),
            text -> new DocumentParser.ParsedDocument(null, List.of()));

    @Test
    void shouldExitWithTwoAndListEveryMistakeWhenTheSettingsAreInvalid() {
        int exitCode = run("--caller-port=-1", "--operator-port=-1");

        assertThat(exitCode).isEqualTo(2);
        assertThat(errors.toString()).contains("--caller-port is -1", "--operator-port is -1");
    }

    @Test
    void shouldExitWithOneAndPrintOneLineWhenItCannotListen() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            int exitCode = run("--caller-host=127.0.0.1", "--caller-port=" + taken.getLocalPort(), "--operator-port=0");

            assertThat(exitCode).isEqualTo(1);
            assertThat(errors.toString().lines()).singleElement().asString().contains("DSC-2002");
        }
    }

    @Test
    void shouldExitWithOneAndPrintOneLineWhenAnInvariantViolationRequiresAStop() {
        ScriptedCore core = new ScriptedCore((event, now) ->
                List.of(new Action.InvariantBroken(1, "two owners of a slice", true), new Action.StopNow()));
        DaisyscaleRouter brokenRouter = new DaisyscaleRouter(
                settings -> core, new OneEventLinks(), text -> new DocumentParser.ParsedDocument(null, List.of()));

        int exitCode = brokenRouter.run(ENVIRONMENT, new PrintWriter(output), new PrintWriter(errors), ANY_PORTS);

        assertThat(exitCode).isEqualTo(1);
        assertThat(errors.toString().lines())
                .singleElement()
                .asString()
                .contains("DSC-2005", "promise 1", "two owners of a slice");
        assertThat(core.remainingEventCount()).isEqualTo(1);
    }

    @Test
    void shouldPrintItsFlagsAndVariables() {
        int exitCode = run("--help");

        assertThat(exitCode).isZero();
        assertThat(output.toString()).contains("--caller-port", "DAISYSCALE_CALLER_PORT", "Default: 8080");
    }

    private int run(String... args) {
        return router.run(ENVIRONMENT, new PrintWriter(output), new PrintWriter(errors), args);
    }
}
