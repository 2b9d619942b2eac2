package org.daisyscale.testkit.load;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.daisyscale.testkit.http.Json;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a plan against routers or backend servers, and prints the summary as JSON. Used by one thread. */
@Command(name = "load", mixinStandardHelpOptions = true)
public final class LoadProgram implements Callable<Integer> {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(names = "--router", required = true, description = "A base address; may be repeated.")
    private List<String> addresses;

    @Option(names = "--plan-file", required = true, description = "A plan as JSON, with the fields of LoadPlan.")
    private Path planFile;

    /** Runs the program. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new LoadProgram()).execute(arguments));
    }

    @Override
    public Integer call() throws java.io.IOException {
        LoadPlan plan = Json.read(Files.readAllBytes(planFile), LoadPlan.class);
        LoadSummary summary = new LoadRun(plan, addresses, new RetryRule.RefusedConnections(addresses.size())).run();
        spec.commandLine().getOut().println(new String(Json.bytes(summary), StandardCharsets.UTF_8));
        return summary.notSentCount() == 0 ? 0 : 1;
    }
}
