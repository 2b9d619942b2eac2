package org.daisyscale.router;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Function;
import org.daisyscale.codec.document.DocumentReader;
import org.daisyscale.codec.json.JsonCodec;
import org.daisyscale.codec.peer.PeerCodec;
import org.daisyscale.core.CoreSettings;
import org.daisyscale.core.DecisionCore;
import org.daisyscale.core.RouterCore;
import org.daisyscale.core.error.DaisyscaleException;
import org.daisyscale.router.internal.assembly.LinkFactory;
import org.daisyscale.router.internal.assembly.NetworkLinks;
import org.daisyscale.router.internal.assembly.RouterAssembly;
import org.daisyscale.router.internal.assembly.StopSignal;
import org.daisyscale.router.internal.assembly.TermSignals;
import org.daisyscale.router.internal.error.ShellErrorCode;
import org.daisyscale.router.internal.error.ShellException;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.log.LogSetup;
import org.daisyscale.router.internal.operator.CodecDocumentParser;
import org.daisyscale.router.internal.operator.DocumentParser;
import org.daisyscale.router.internal.settings.RouterSettings;
import org.daisyscale.router.internal.settings.SettingsReader;

/**
 * The router's command: reads the settings and runs the router until a planned stop, which SIGTERM starts. The exit
 * code is 0 after a planned stop or a printed text, 1 after a failure and 2 for invalid settings; for 1 and 2 one line
 * goes to the error writer. Not thread-safe.
 */
public final class DaisyscaleRouter {
    static final int EXIT_OK = 0;
    static final int EXIT_FAILURE = 1;
    static final int EXIT_USAGE = 2;

    private final Function<CoreSettings, DecisionCore> coreFactory;
    private final LinkFactory linkFactory;
    private final DocumentParser documentParser;

    DaisyscaleRouter(
            Function<CoreSettings, DecisionCore> coreFactory, LinkFactory linkFactory, DocumentParser documentParser) {
        this.coreFactory = coreFactory;
        this.linkFactory = linkFactory;
        this.documentParser = documentParser;
    }

    /** Runs the command and exits the process with its exit code. */
    public static void main(String... args) {
        DocumentReader reader = new DocumentReader();
        LinkFactory links = new NetworkLinks(new JsonCodec(reader::read), new PeerCodec(reader::read));
        PrintWriter output = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
        PrintWriter errors = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
        DaisyscaleRouter router = new DaisyscaleRouter(RouterCore::new, links, new CodecDocumentParser());
        System.exit(router.run(System.getenv(), output, errors, args));
    }

    int run(Map<String, String> environment, PrintWriter output, PrintWriter errors, String... args) {
        try {
            SettingsReader.Result result = new SettingsReader(environment).read(args);
            if (result.text() != null) {
                output.print(result.text());
                output.flush();
                return EXIT_OK;
            }
            return run(result.settings(), errors);
        } catch (ShellException e) {
            printFailure(errors, e);
            return e.errorCode() == ShellErrorCode.INVALID_SETTINGS ? EXIT_USAGE : EXIT_FAILURE;
        }
    }

    private int run(RouterSettings settings, PrintWriter errors) {
        LogSetup.configure(settings.log().format(), settings.log().level());
        StopSignal stopSignal = new StopSignal();
        TermSignals.requestStopOnTerm(stopSignal);
        try {
            new RouterAssembly(settings, coreFactory.apply(settings.core()), linkFactory, documentParser, stopSignal)
                    .runUntilStopped(ports -> EventLog.info("router-started", "ports=" + ports));
        } catch (DaisyscaleException e) {
            printFailure(errors, e);
            return EXIT_FAILURE;
        } catch (Exception e) {
            printFailure(errors, new ShellException(ShellErrorCode.STOPPED_BY_FAULT, e.toString(), e));
            return EXIT_FAILURE;
        }
        return exitCode(stopSignal, errors);
    }

    private static int exitCode(StopSignal stopSignal, PrintWriter errors) {
        if (stopSignal.fault() == null) {
            return EXIT_OK;
        }
        printFailure(errors, new ShellException(ShellErrorCode.STOPPED_BY_FAULT, stopSignal.fault()));
        return EXIT_FAILURE;
    }

    private static void printFailure(PrintWriter errors, DaisyscaleException failure) {
        errors.println(failure.getMessage());
        errors.flush();
    }
}
