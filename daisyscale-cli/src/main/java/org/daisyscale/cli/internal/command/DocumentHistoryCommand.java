package org.daisyscale.cli.internal.command;

import java.util.concurrent.Callable;
import org.daisyscale.cli.internal.router.ConfigurationView;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Lists the most recent configuration changes. */
@Command(
        name = "history",
        description = "Lists the most recent configuration changes: who changed what, when and why.",
        footerHeading = "%nExamples:%n",
        footer = "  daisyscale document history --output json")
final class DocumentHistoryCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private OutputOptions output;

    @Mixin
    private RouterOptions routers;

    DocumentHistoryCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() {
        try (RouterConnection connection = routers.open()) {
            ConfigurationView view = connection.fleet().configuration();
            context.console().show(output.format(), view.history(), HistoryFormatter.format(view.history()));
            return ExitCode.DONE;
        }
    }
}
