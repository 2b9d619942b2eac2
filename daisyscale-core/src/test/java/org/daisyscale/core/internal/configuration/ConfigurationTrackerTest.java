package org.daisyscale.core.internal.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.document.EnvironmentDocument;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.platform.WriteOutcome;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConfigurationTrackerTest {
    private final ConfigurationTracker tracker = new ConfigurationTracker();
    private final Outbox out = new Outbox("router-1");

    private static Configuration configuration(long revision, String writeId) {
        EnvironmentDocument document =
                new EnvironmentDocument(EnvironmentDocument.CURRENT_FORMAT_VERSION, "test", List.of());
        return new Configuration(revision, writeId, "", document, Set.of(), Set.of(), List.of());
    }

    @BeforeEach
    void proposeSecondRevision() {
        handle(new Event.ConfigurationRead(configuration(1, "first")));
        handle(new Event.ConfigurationProposed("request-1", configuration(2, "ours")));
    }

    private List<Action> handle(Event event) {
        tracker.handle(event, new Moment(0, 0), out);
        return out.drain();
    }

    @Test
    void shouldAnswerARejectedProposalWithTheWinningRevision() {
        List<Action> before = handle(new Event.ConfigurationWriteEnded("ours", WriteOutcome.REFUSED));

        List<Action> after = handle(new Event.ConfigurationRead(configuration(2, "theirs")));

        assertThat(before).containsExactly(new Action.ReadConfiguration());
        assertThat(after)
                .contains(new Action.AnswerProposal(
                        "request-1", 2, false, "another operator's change was accepted first"));
    }

    @Test
    void shouldReadAgainWhenAReadShowsTheRevisionFromBeforeTheRejectedWrite() {
        handle(new Event.ConfigurationWriteEnded("ours", WriteOutcome.REFUSED));

        List<Action> afterOld = handle(new Event.ConfigurationRead(configuration(1, "first")));
        List<Action> afterNew = handle(new Event.ConfigurationRead(configuration(2, "theirs")));

        assertThat(afterOld).containsExactly(new Action.ReadConfiguration());
        assertThat(afterNew)
                .contains(new Action.AnswerProposal(
                        "request-1", 2, false, "another operator's change was accepted first"));
    }

    @Test
    void shouldRejectAProposalWhenNoReadShowsANewerRevision() {
        handle(new Event.ConfigurationWriteEnded("ours", WriteOutcome.REFUSED));

        List<Action> actions = new ArrayList<>();
        for (int read = 0; read < 3; read++) {
            actions.addAll(handle(new Event.ConfigurationRead(configuration(1, "first"))));
        }

        assertThat(actions)
                .contains(new Action.AnswerProposal(
                        "request-1",
                        1,
                        false,
                        "the platform's service rejected the write, but shows no newer revision"));
    }

    @Test
    void shouldAnswerARejectedProposalImmediatelyWhenThePlatformIsUnreachable() {
        handle(new Event.ConfigurationWriteEnded("ours", WriteOutcome.REFUSED));

        List<Action> actions = handle(new Event.PlatformUnreachable("no answer"));

        assertThat(actions)
                .containsExactly(new Action.AnswerProposal(
                        "request-1", 1, false, "the platform's service can't be reached: no answer"));
    }

    @Test
    void shouldAnswerAnAcceptedProposalWithItsRevision() {
        List<Action> actions = handle(new Event.ConfigurationWriteEnded("ours", WriteOutcome.ACCEPTED));

        assertThat(actions).contains(new Action.AnswerProposal("request-1", 2, true, ""));
    }
}
