package org.daisyscale.router.internal.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Map;

/** Reads secrets from files or environment variables, never from the values of flags. Immutable. */
final class SecretSource {
    private static final int MIN_LENGTH = 16;

    private final Map<String, String> environment;

    SecretSource(Map<String, String> environment) {
        this.environment = environment;
    }

    Secret read(SettingsCheck check, String fileFlag, String file, String variable) {
        String text = file.isEmpty() ? environment.getOrDefault(variable, "") : readFile(check, fileFlag, file);
        if (text.length() < MIN_LENGTH) {
            check.addMistake("%s or %s gives a secret of %d characters; accepted: at least %d"
                    .formatted(fileFlag, variable, text.length(), MIN_LENGTH));
        }
        return new Secret(text);
    }

    private static String readFile(SettingsCheck check, String fileFlag, String file) {
        try {
            return Files.readString(Path.of(file)).strip();
        } catch (IOException | InvalidPathException e) {
            check.addMistake("%s is '%s', which can't be read; accepted: a readable file".formatted(fileFlag, file));
            return "";
        }
    }
}
