package org.daisyscale.cli.internal.command;

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
import picocli.CommandLine.Parameters;

/** Takes data centres out of service and brings them back. */
@Command(name = "data-centre", description = "Takes a data centre out of service and brings it back.")
final class DataCentreCommand {
    private final CliContext context;

    DataCentreCommand(CliContext context) {
        this.context = context;
    }

    @Command(
            name = "out",
            description = "Sends the data centre's backend servers no new work. Refused for the last data centre in"
                    + " service, and without --force when a service would be left without a reachable backend server.",
            footerHeading = "%nExamples:%n",
            footer = "  daisyscale data-centre out dc2 --reason 'power work' --wait")
    int out(
            @Mixin OutputOptions output,
            @Mixin RouterOptions routers,
            @Mixin ChangeOptions change,
            @Parameters(paramLabel = "NAME", description = "The data centre.") String name) {
        change.check();
        try (RouterConnection connection = routers.open()) {
            RouterFleet fleet = connection.fleet();
            ConfigurationView view = fleet.configuration();
            RouterStatus status = MergedStatusReader.read(context, fleet);
            requireKnown(name, status);
            if (view.dataCentresOut().contains(name)) {
                return runWithoutChange(fleet, output, change, view, name + " is already out of service");
            }
            String reason = change.historyReason(DangerChecks.checkTakingOut(name, view.dataCentresOut(), status));
            Set<String> out = new TreeSet<>(view.dataCentresOut());
            out.add(name);
            String summary = "data centre %s out".formatted(name);
            return run(fleet, output, change, proposal(view, change, reason, summary, out));
        }
    }

    @Command(
            name = "in",
            description = "Brings a data centre back into service.",
            footerHeading = "%nExamples:%n",
            footer = "  daisyscale data-centre in dc2 --wait")
    int in(
            @Mixin OutputOptions output,
            @Mixin RouterOptions routers,
            @Mixin ChangeOptions change,
            @Parameters(paramLabel = "NAME", description = "The data centre.") String name) {
        change.check();
        try (RouterConnection connection = routers.open()) {
            RouterFleet fleet = connection.fleet();
            ConfigurationView view = fleet.configuration();
            if (!view.dataCentresOut().contains(name)) {
                requireKnown(name, fleet.status());
                return runWithoutChange(fleet, output, change, view, name + " is already in service");
            }
            Set<String> out = new TreeSet<>(view.dataCentresOut());
            out.remove(name);
            String summary = "data centre %s in".formatted(name);
            return run(fleet, output, change, proposal(view, change, change.reason(), summary, out));
        }
    }

    @Command(
            name = "status",
            description = "Lists the data centres with the state and number of their backend servers.",
            footerHeading = "%nExamples:%n",
            footer = "  daisyscale data-centre status")
    int status(@Mixin OutputOptions output, @Mixin RouterOptions routers) {
        try (RouterConnection connection = routers.open()) {
            ConfigurationView view = connection.fleet().configuration();
            RouterStatus status = MergedStatusReader.read(context, connection.fleet());
            Set<String> names = DangerChecks.dataCentres(status);
            names.addAll(view.dataCentresOut());
            List<DataCentreRow> rows = names.stream()
                    .map(name -> DataCentreRow.of(name, view, status))
                    .toList();
            TextTable table = new TextTable("DATA CENTRE", "STATE", "SERVERS", "REACHABLE", "RUNNING");
            rows.forEach(row -> table.add(
                    row.dataCentre(),
                    row.isOut() ? "out" : "in service",
                    row.serverCount(),
                    row.reachableCount(),
                    row.runningCount()));
            context.console().show(output.format(), rows, table.lines());
            return ExitCode.DONE;
        }
    }

    /** A row of the list of data centres. */
    private record DataCentreRow(
            String dataCentre, boolean isOut, long serverCount, long reachableCount, long runningCount) {

        static DataCentreRow of(String name, ConfigurationView view, RouterStatus status) {
            List<ServerSummary> servers = status.servers().stream()
                    .filter(server -> server.dataCentre().equals(name))
                    .toList();
            return new DataCentreRow(
                    name,
                    view.dataCentresOut().contains(name),
                    servers.size(),
                    servers.stream().filter(ServerSummary::isReachable).count(),
                    servers.stream().mapToLong(ServerSummary::runningCount).sum());
        }
    }

    private static ConfigurationProposal proposal(
            ConfigurationView view, ChangeOptions change, String reason, String summary, Set<String> out) {
        return new ConfigurationProposal(view.revision(), change.author(), reason, summary, null, out, null);
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

    private static void requireKnown(String name, RouterStatus status) {
        Set<String> known = DangerChecks.dataCentres(status);
        if (!known.contains(name)) {
            throw new CliException(
                    CliErrorCode.UNKNOWN_NAME,
                    "data centre '%s'; known are %s".formatted(name, String.join(", ", known)));
        }
    }
}
