package org.daisyscale.cli.internal.command;

import java.util.List;
import java.util.concurrent.Callable;
import org.daisyscale.cli.internal.decision.KeyOwner;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;
import org.daisyscale.core.status.RouterStatus;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Shows which backend server owns a key. */
@Command(
        name = "owner",
        description = "Shows which backend server owns a key, with its slice and epoch.",
        footerHeading = "%nExamples:%n",
        footer = "  daisyscale owner tank-4711 --service slot-lookup")
final class OwnerCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private OutputOptions output;

    @Mixin
    private RouterOptions routers;

    @Parameters(paramLabel = "KEY", description = "The key, as requests carry it.")
    private String key;

    @Option(names = "--service", paramLabel = "NAME", required = true, description = "The key's service.")
    private String service;

    OwnerCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() {
        try (RouterConnection connection = routers.open()) {
            RouterStatus status = connection.fleet().status();
            KeyOwner owner = KeyOwner.find(status, service, key)
                    .orElseThrow(() -> new CliException(
                            CliErrorCode.UNKNOWN_NAME,
                            "'%s' is no service with owned keys in map version %d"
                                    .formatted(service, status.mapVersion())));
            context.console().show(output.format(), owner, lines(owner));
            return ExitCode.DONE;
        }
    }

    private static List<String> lines(KeyOwner owner) {
        String server = owner.server().isEmpty() ? "no backend server" : owner.server();
        String pending = owner.predecessor().isEmpty()
                ? ""
                : "; not granted yet because %s may still own the slice".formatted(owner.predecessor());
        return List.of(
                "owner  %s%s".formatted(server, pending),
                "epoch  %d".formatted(owner.epoch()),
                "slice  hashes %d to %d, the key's is %d"
                        .formatted(owner.startHash(), owner.endHash() - 1, owner.hash()),
                "map    version %d".formatted(owner.mapVersion()));
    }
}
