package org.daisyscale.cli.internal.command;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.daisyscale.cli.internal.decision.FieldChange;
import org.daisyscale.cli.internal.decision.PromotionGate;

/** Formats the differences between two documents as text. Stateless and thread-safe. */
final class DiffFormatter {
    private DiffFormatter() {}

    /** Returns a line for each change, or one line that says that no field differs. */
    static List<String> format(List<FieldChange> changes, String before, String after) {
        if (before.equals(after)) {
            return List.of("no difference");
        }
        if (changes.isEmpty()) {
            return List.of("only comments, order or explicit defaults differ");
        }
        return changes.stream().map(FieldChange::describe).toList();
    }

    /** Returns the summary of the changes that the history records. */
    static String summary(List<FieldChange> changes) {
        String counts = String.join(
                ", ",
                Arrays.stream(FieldChange.Kind.values())
                        .map(kind -> "%d %s"
                                .formatted(count(changes, kind), kind.name().toLowerCase(Locale.ROOT)))
                        .toList());
        return "%s: fields %s".formatted(PromotionGate.DOCUMENT_SUMMARY, counts);
    }

    private static long count(List<FieldChange> changes, FieldChange.Kind kind) {
        return changes.stream().filter(change -> change.kind() == kind).count();
    }
}
