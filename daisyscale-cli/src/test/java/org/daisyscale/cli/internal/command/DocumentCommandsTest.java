package org.daisyscale.cli.internal.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DocumentCommandsTest {
    private static final Path EXAMPLE = Path.of("..", "examples", "rijnland.yaml");

    @TempDir
    private Path folder;

    private FakeRouter router;
    private Path file;

    @BeforeEach
    void startRouter() throws Exception {
        router = new FakeRouter();
        file = Files.writeString(folder.resolve("trial.yaml"), Files.readString(EXAMPLE));
    }

    @AfterEach
    void stopRouter() throws Exception {
        router.close();
    }

    @Test
    void shouldCheckADocumentWithoutARouter() {
        CommandRun run = CommandRun.of("", "document", "check", file.toString());

        assertThat(run.exitCode()).isZero();
        assertThat(run.out()).contains("slot-lookup: exclusive, 2 jobs, 1 kinds");
    }

    @Test
    void shouldPrintEveryDefaultOfADocument() {
        CommandRun run = CommandRun.of("", "document", "check", "--effective", file.toString());

        assertThat(run.exitCode()).isZero();
        assertThat(run.out()).contains("sliceCount: 128", "hedgePercentile: 0");
    }

    @Test
    void shouldReportEachProblemWithLineAndColumnAndApplyNothing() throws IOException {
        Files.writeString(file, Files.readString(EXAMPLE).replaceFirst("deadlineMillis: ", "deadlineMilis: "));

        CommandRun run = apply("--yes");

        assertThat(run.exitCode()).isEqualTo(1);
        assertThat(run.err())
                .contains("trial.yaml:20:9: unknown key 'deadlineMilis'; did you mean 'deadlineMillis'?")
                .contains("DSC-6202");
        assertThat(router.history()).isEmpty();
    }

    @Test
    void shouldApplyTheDocumentByteForByteOnceConfirmedAndWaitUntilInForce() throws IOException {
        router.setPeerRevision(0);
        CommandRun run = new CommandRun().whileWaiting(() -> router.setPeerRevision(Long.MAX_VALUE));

        run.run("y\n", "document", "apply", file.toString(), "--router", router.address(), "--wait", "--reason", "why");

        assertThat(run.exitCode()).isZero();
        assertThat(router.documentText()).isEqualTo(Files.readString(file));
        assertThat(router.history().get(0).reason()).isEqualTo("why");
        assertThat(run.err())
                .contains("+ slot-lookup.ownership: exclusive")
                .contains("revision 1 in force at 1 of 2 live routers; not at r2")
                .contains("revision 1 in force at 2 of 2 live routers");
        assertThat(run.out()).isEqualTo("revision 1\n");
    }

    @Test
    void shouldNameTheLaggingRoutersWhenTheWaitTimesOut() {
        router.setPeerRevision(0);

        CommandRun run = apply("--yes", "--wait", "--wait-limit", "2s");

        assertThat(run.exitCode()).isEqualTo(1);
        assertThat(run.err()).contains("DSC-6304").contains("not at r2");
    }

    @Test
    void shouldAlsoWaitForAChangeThatWasAcceptedEarlier() throws IOException {
        router.storeDocument(Files.readString(file));
        router.setPeerRevision(0);

        CommandRun run = apply("--yes", "--wait", "--wait-limit", "2s");

        assertThat(run.exitCode()).isEqualTo(1);
        assertThat(run.err()).contains("DSC-6304").contains("not at r2");
    }

    @Test
    void shouldChangeNothingWithoutConfirmation() {
        CommandRun run = apply();

        assertThat(run.exitCode()).isEqualTo(1);
        assertThat(run.err()).contains("DSC-6303");
        assertThat(router.history()).isEmpty();
    }

    @Test
    void shouldWriteNothingWhenTheSameDocumentIsAlreadyInForce() throws IOException {
        router.storeDocument(Files.readString(file));

        CommandRun run = apply("--yes");

        assertThat(run.exitCode()).isZero();
        assertThat(run.err()).contains("no difference");
        assertThat(router.history()).hasSize(1);
    }

    @Test
    void shouldReportTheConcurrentChangeAfterALostRace() {
        router.beforeProposal(() -> {
            router.record("grace", "data centre dc2 out", "power work");
            router.beforeProposal(() -> {});
        });

        CommandRun run = apply("--yes");

        assertThat(run.exitCode()).isEqualTo(1);
        assertThat(run.err())
                .contains("DSC-6201", "started from revision 0, in force is 1")
                .contains("grace", "data centre dc2 out", "power work")
                .contains("Run the command again");
        assertThat(router.documentText()).isEmpty();
    }

    @Test
    void shouldRecogniseItsOwnChangeAfterALostAnswer() throws IOException {
        router.dropNextProposalAnswer();

        CommandRun run = apply("--yes");

        assertThat(run.exitCode()).isZero();
        assertThat(run.out()).isEqualTo("revision 1\n");
        assertThat(router.documentText()).isEqualTo(Files.readString(file));
    }

    @Test
    void shouldReportAnUnknownOutcomeWhenTheRouterDiesDuringAProposal() {
        router.beforeProposal(router::stopAnswering);

        CommandRun run = apply("--yes");

        assertThat(run.exitCode()).isEqualTo(1);
        assertThat(run.err()).contains("DSC-6203");
    }

    @Test
    void shouldReportThatNoRouterAnswers() throws IOException {
        String address;
        try (ServerSocket closedAtOnce = new ServerSocket(0)) {
            address = "http://127.0.0.1:" + closedAtOnce.getLocalPort();
        }

        CommandRun run = CommandRun.of("", "status", "--router", address);

        assertThat(run.exitCode()).isEqualTo(1);
        assertThat(run.err()).contains("DSC-6101").contains(address).hasLineCount(1);
    }

    @Test
    void shouldTryTheNextRouterWhenOneCannotBeReached() throws IOException {
        String address;
        try (ServerSocket closedAtOnce = new ServerSocket(0)) {
            address = "http://127.0.0.1:" + closedAtOnce.getLocalPort();
        }

        CommandRun run = CommandRun.of("", "document", "history", "--router", address + "," + router.address());

        assertThat(run.exitCode()).isZero();
    }

    @Test
    void shouldReportAWrongOperatorToken() throws IOException {
        Path token = Files.writeString(folder.resolve("token"), "another\n");

        CommandRun run = CommandRun.of(
                "", "document", "show", "--router", router.address(), "--operator-token-file", token.toString());

        assertThat(run.exitCode()).isEqualTo(1);
        assertThat(run.err()).contains("DSC-6102").doesNotContain("another").hasLineCount(1);
    }

    @Test
    void shouldReplaceADocumentThatThisReleaseCannotRead() throws IOException {
        router.storeDocument("formatVersion: 99\n");

        CommandRun show = CommandRun.of("", "document", "show", "--router", router.address());
        CommandRun apply = apply("--yes");

        assertThat(show.out()).isEqualTo("formatVersion: 99\n");
        assertThat(apply.exitCode()).isZero();
        assertThat(apply.err()).contains("this release can't read the document in force");
        assertThat(router.documentText()).isEqualTo(Files.readString(file));
    }

    @Test
    void shouldShowTheDocumentByteForByte() throws IOException {
        router.storeDocument(Files.readString(file));

        CommandRun run = CommandRun.of("", "document", "show", "--router", router.address());

        assertThat(run.out()).isEqualTo(Files.readString(file));
    }

    private CommandRun apply(String... options) {
        String[] arguments = new String[options.length + 5];
        System.arraycopy(
                new String[] {"document", "apply", file.toString(), "--router", router.address()}, 0, arguments, 0, 5);
        System.arraycopy(options, 0, arguments, 5, options.length);
        return CommandRun.of("", arguments);
    }
}
