package org.daisyscale.cli.internal.command;

import picocli.CommandLine.Command;

/** Parent of the document commands; does nothing by itself. */
@Command(
        name = "document",
        description = "Checks, compares, applies and promotes the document that configures how services are routed.",
        synopsisSubcommandLabel = "COMMAND")
final class DocumentCommand {}
