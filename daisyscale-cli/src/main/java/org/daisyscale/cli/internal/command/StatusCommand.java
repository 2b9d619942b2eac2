package org.daisyscale.cli.internal.command;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import org.daisyscale.cli.internal.output.TextTable;
import org.daisyscale.cli.internal.router.RouterFleet;
import org.daisyscale.core.status.PeerStatus;
import org.daisyscale.core.status.RouterStatus;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Lists the routers with their states and the revision in force at each. */
@Command(
        name = "status",
        description = "Lists the routers: revision in force, map version, controller, authority and outage mode.",
        footerHeading = "%nExamples:%n",
        footer = "  daisyscale status --router http://10.0.0.1:9001,http://10.0.0.2:9001")
final class StatusCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private OutputOptions output;

    @Mixin
    private RouterOptions routers;

    StatusCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() {
        try (RouterConnection connection = routers.open()) {
            RouterFleet.Answers<RouterStatus> statuses = connection.fleet().statuses();
            List<RouterRow> rows = rows(statuses.values());
            context.console().show(output.format(), rows, table(rows).lines());
            statuses.unreachable().forEach(address -> context.console().printNotice("no answer from " + address));
            return ExitCode.DONE;
        }
    }

    /** A row of the list of routers; the row of a router that was not queried contains what its peers report. */
    private record RouterRow(
            String router, String dataCentre, String state, long revision, long mapVersion, int requestsRunning) {

        static RouterRow fromStatus(RouterStatus status) {
            List<String> state = new ArrayList<>();
            state.add(readiness(status));
            addIf(state, status.isController(), "controller");
            addIf(state, !status.hasAuthority(), "no authority");
            addIf(state, !status.isPlatformReachable(), "outage mode");
            return new RouterRow(
                    status.router(),
                    status.dataCentre(),
                    String.join(", ", state),
                    status.configurationRevision(),
                    status.mapVersion(),
                    status.requestsRunning());
        }

        static RouterRow fromPeer(PeerStatus peer) {
            String state = peer.isHeard() ? "heard by a peer" : "not heard";
            return new RouterRow(peer.router(), "", state, peer.configurationRevision(), peer.mapVersion(), 0);
        }

        private static String readiness(RouterStatus status) {
            if (status.isStopping()) {
                return "stopping";
            }
            return status.isReady() ? "ready" : "not ready";
        }

        private static void addIf(List<String> state, boolean isPresent, String word) {
            if (isPresent) {
                state.add(word);
            }
        }
    }

    private static List<RouterRow> rows(List<RouterStatus> statuses) {
        List<RouterRow> rows = new ArrayList<>();
        TreeSet<String> seen = new TreeSet<>();
        statuses.stream()
                .filter(status -> seen.add(status.router()))
                .map(RouterRow::fromStatus)
                .forEach(rows::add);
        statuses.stream()
                .flatMap(status -> status.peers().stream())
                .sorted((one, other) -> Boolean.compare(other.isHeard(), one.isHeard()))
                .filter(peer -> seen.add(peer.router()))
                .map(RouterRow::fromPeer)
                .forEach(rows::add);
        return rows;
    }

    private static TextTable table(List<RouterRow> rows) {
        TextTable table = new TextTable("ROUTER", "DATA CENTRE", "STATE", "REVISION", "MAP", "RUNNING");
        rows.forEach(row -> table.add(
                row.router(), row.dataCentre(), row.state(), row.revision(), row.mapVersion(), row.requestsRunning()));
        return table;
    }
}
