package org.daisyscale.codec.document;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Provides documents for tests. Stateless. */
final class DocumentTexts {
    /** A document with one exclusive service with one kind; the deadline is on line 12. */
    static final String SMALL = """
            formatVersion: 1
            services:
              - name: slot-lookup
                jobs:
                  - name: afd7-slot-lookup
                ownership: exclusive
                kinds:
                  - name: lookup
                    method: GET
                    path: /slots/{key}
                    key: {from: path, name: key}
                    deadlineMillis: 500
                    idempotent: true
            """;

    private static final Path EXAMPLES = Path.of("..", "examples");

    private DocumentTexts() {}

    static List<String> examples() {
        return List.of(example("rijnland.yaml"), example("kringlevogn.yaml"));
    }

    private static String example(String fileName) {
        try {
            return Files.readString(EXAMPLES.resolve(fileName));
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }
}
