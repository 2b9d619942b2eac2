package org.daisyscale.testkit.capacity;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.daisyscale.testkit.http.Json;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Prints what control costs at rising sizes as a table, and as JSON with {@code --json}. */
@Command(
        name = "bench-capacity",
        mixinStandardHelpOptions = true,
        description = "Measures what control costs at rising sizes.",
        footer = "Example: bin/bench-capacity --parts sizes,traffic --routers 3,12,50 --json capacity.json")
public final class CapacityBench implements Callable<Integer> {
    private static final int SERVICES = 12;
    private static final int SLICES_PER_SERVICE = 128;

    @Option(names = "--parts", split = ",", description = "Any of sizes, traffic, events, heap; default all.")
    private List<String> parts = List.of("sizes", "traffic", "events", "heap");

    @Option(names = "--routers", split = ",", description = "Numbers of routers; default ${DEFAULT-VALUE}.")
    private List<Integer> routerCounts = List.of(3, 12, 50, 200, 400);

    @Option(names = "--servers-per-service", description = "Default ${DEFAULT-VALUE}.")
    private int serversPerService = 60;

    @Option(names = "--json", description = "Writes the figures to this file too.")
    private Path jsonFile;

    @Spec
    private CommandSpec spec;

    private final Map<String, Object> figures = new LinkedHashMap<>();

    /** Runs the command. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new CapacityBench()).execute(arguments));
    }

    @Override
    public Integer call() throws Exception {
        if (parts.contains("sizes")) {
            print("sizes", new MessageSizes().measure());
        }
        if (parts.contains("traffic")) {
            routerCounts.forEach(this::printTraffic);
        }
        if (parts.contains("events")) {
            print("microseconds per event", new EventCosts().measure(size(SERVICES)));
        }
        if (parts.contains("heap")) {
            print("heap", new HeapSizes().measure());
        }
        if (jsonFile != null) {
            Files.write(jsonFile, Json.bytes(figures));
        }
        return 0;
    }

    private FleetSize size(int routers) {
        return new FleetSize(routers, SERVICES, serversPerService, SLICES_PER_SERVICE);
    }

    private void printTraffic(int routers) {
        Region region = new Region(size(routers));
        Map<String, String> routerByRole = new LinkedHashMap<>();
        routerByRole.put("controller", region.controller());
        routerByRole.put("seat", region.seat());
        routerByRole.put("plain", region.plain());
        List<ControlCost> costs = new ArrayList<>();
        routerByRole.forEach((role, router) -> {
            ControlCost cost = region.cost(router);
            costs.add(cost);
            line("%d routers, %s: sent %.0f B/s, got %.0f B/s, core %.2f ms/s, calls in 2 s %s, sent by type %s"
                    .formatted(
                            routers,
                            role,
                            cost.sentBytesPerSecond(),
                            cost.gotBytesPerSecond(),
                            cost.coreMillisPerSecond(),
                            cost.platformCalls(),
                            cost.sentBytesByType()));
        });
        line("%d routers: %d writes until settled".formatted(routers, region.settlingWrites()));
        figures.put("traffic-" + routers, costs);
    }

    private void print(String name, Map<String, Double> values) {
        values.forEach((what, value) -> line("%-40s %10.2f".formatted(what, value)));
        figures.put(name, values);
    }

    private void line(String text) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(text);
        out.flush();
    }
}
