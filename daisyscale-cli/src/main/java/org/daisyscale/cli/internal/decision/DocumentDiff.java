package org.daisyscale.cli.internal.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.daisyscale.core.document.EnvironmentDocument;

/** Compares two documents field by field, including fields set by default. Stateless and thread-safe. */
public final class DocumentDiff {
    private DocumentDiff() {}

    /** Returns the differences from {@code before} to {@code after}: removals and changes first, then additions. */
    public static List<FieldChange> between(EnvironmentDocument before, EnvironmentDocument after) {
        Map<String, String> oldFields = DocumentFields.of(before);
        Map<String, String> newFields = DocumentFields.of(after);
        List<FieldChange> changes = new ArrayList<>();
        oldFields.forEach((field, value) -> addRemovalOrChange(changes, field, value, newFields.get(field)));
        newFields.forEach((field, value) -> {
            if (!oldFields.containsKey(field)) {
                changes.add(new FieldChange(FieldChange.Kind.ADDED, field, "", value));
            }
        });
        return changes;
    }

    /** Returns an empty document, used as the predecessor of the first document. */
    public static EnvironmentDocument emptyDocument() {
        return new EnvironmentDocument(EnvironmentDocument.CURRENT_FORMAT_VERSION, "", List.of());
    }

    private static void addRemovalOrChange(List<FieldChange> changes, String field, String before, String after) {
        if (after == null) {
            changes.add(new FieldChange(FieldChange.Kind.REMOVED, field, before, ""));
        } else if (!after.equals(before)) {
            changes.add(new FieldChange(FieldChange.Kind.CHANGED, field, before, after));
        }
    }
}
