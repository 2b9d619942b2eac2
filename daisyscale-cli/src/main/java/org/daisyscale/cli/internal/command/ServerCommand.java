package org.daisyscale.cli.internal.command;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.daisyscale.cli.internal.decision.DangerChecks;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;
import org.daisyscale.cli.internal.output.TextTable;
import org.daisyscale.cli.internal.router.ConfigurationProposal;
import org.daisyscale.cli.internal.router.ConfigurationView;
import org.daisyscale.cli.internal.router.RouterFleet;
import org.daisyscale.core.status.RouterStatus;
import org.daisyscale.core.status.ServerSummary;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Drains backend servers and brings them back. */
@Command(name = "server", description = "Drains a backend server and brings it back; lists backend servers.")
final class ServerCommand {
    private final CliContext context;

    ServerCommand(CliContext context) {
        this.context = context;
    }

    @Command(
            name = "drain",
            description =
                    "Sends a backend server no new work and moves its keys. Refused without --force when fewer than"
                            + " half of its service's reachable backend servers would be left.",
            footerHeading = "%nExamples:%n",
            footer = "  daisyscale server drain vm-17 --reason 'disk swap' --wait")
    int drain(
            @Mixin OutputOptions output,
            @Mixin RouterOptions routers,
            @Mixin ChangeOptions change,
            @Parameters(paramLabel = "ID", description = "Id of the backend server.") String id) {
        change.check();
        try (RouterConnection connection = routers.open()) {
            RouterFleet fleet = connection.fleet();
            ConfigurationView view = fleet.configuration();
            RouterStatus status = MergedStatusReader.read(context, fleet);
            ServerSummary server = require(id, status);
            if (view.serversDrained().contains(id)) {
                return runWithoutChange(fleet, output, change, view, id + " is already drained");
            }
            String reason = change.historyReason(DangerChecks.checkDraining(server, status));
            Set<String> drained = new TreeSet<>(view.serversDrained());
            drained.add(id);
            String summary = "server %s drained".formatted(id);
            return run(fleet, output, change, proposal(view, change, reason, summary, drained));
        }
    }

    @Command(
            name = "undrain",
            description = "Lets a drained backend server take work again.",
            footerHeading = "%nExamples:%n",
            footer = "  daisyscale server undrain vm-17 --wait")
    int undrain(
            @Mixin OutputOptions output,
            @Mixin RouterOptions routers,
            @Mixin ChangeOptions change,
            @Parameters(paramLabel = "ID", description = "Id of the backend server.") String id) {
        change.check();
        try (RouterConnection connection = routers.open()) {
            RouterFleet fleet = connection.fleet();
            ConfigurationView view = fleet.configuration();
            if (!view.serversDrained().contains(id)) {
                require(id, fleet.status());
                return runWithoutChange(fleet, output, change, view, id + " is not drained by an operator");
            }
            Set<String> drained = new TreeSet<>(view.serversDrained());
            drained.remove(id);
            String summary = "server %s undrained".formatted(id);
            return run(fleet, output, change, proposal(view, change, change.reason(), summary, drained));
        }
    }

    @Command(
            name = "list",
            description = "Lists the backend servers known to the routers.",
            footerHeading = "%nExamples:%n",
            footer = "  daisyscale server list --service slot-lookup")
    int list(
            @Mixin OutputOptions output,
            @Mixin RouterOptions routers,
            @Option(
                            names = "--service",
                            paramLabel = "NAME",
                            description = "List only the backend servers of this service.")
                    String service) {
        try (RouterConnection connection = routers.open()) {
            List<ServerSummary> servers = MergedStatusReader.read(context, connection.fleet()).servers().stream()
                    .filter(server -> service == null || server.service().equals(service))
                    .sorted(Comparator.comparing(ServerSummary::service).thenComparing(ServerSummary::server))
                    .toList();
            TextTable table = new TextTable("SERVER", "SERVICE", "DATA CENTRE", "STATE", "SLOTS", "RUNNING");
            servers.forEach(server -> table.add(
                    server.server(),
                    server.service(),
                    server.dataCentre(),
                    state(server),
                    server.slotLimit(),
                    server.runningCount()));
            context.console().show(output.format(), servers, table.lines());
            return ExitCode.DONE;
        }
    }

    private static String state(ServerSummary server) {
        if (!server.isReachable()) {
            return "unreachable";
        }
        if (server.isOut()) {
            return "out";
        }
        return server.isDraining() ? "draining" : "in service";
    }

    private static ConfigurationProposal proposal(
            ConfigurationView view, ChangeOptions change, String reason, String summary, Set<String> drained) {
        return new ConfigurationProposal(view.revision(), change.author(), reason, summary, null, null, drained);
    }

    private int run(RouterFleet fleet, OutputOptions output, ChangeOptions change, ConfigurationProposal proposal) {
        String summary = proposal.summary();
        String question = "Make this change to revision %d: %s?".formatted(proposal.baseRevision(), summary);
        ChangeResult result = new ChangeRunner(context, fleet, change).run(proposal, question);
        return show(output, result, "%s at revision %d".formatted(summary, result.revision()));
    }

    private int runWithoutChange(
            RouterFleet fleet, OutputOptions output, ChangeOptions change, ConfigurationView view, String line) {
        return show(output, new ChangeRunner(context, fleet, change).runWithoutChange(view.revision()), line);
    }

    private int show(OutputOptions output, ChangeResult result, String line) {
        context.console().show(output.format(), result, List.of(line));
        return ExitCode.DONE;
    }

    private static ServerSummary require(String id, RouterStatus status) {
        return status.servers().stream()
                .filter(server -> server.server().equals(id))
                .findFirst()
                .orElseThrow(() -> new CliException(
                        CliErrorCode.UNKNOWN_NAME,
                        "backend server '%s'; `daisyscale server list` lists %d"
                                .formatted(id, status.servers().size())));
    }
}
