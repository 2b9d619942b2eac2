package org.daisyscale.cli.internal.command;

import java.nio.file.Path;
import java.util.regex.Pattern;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;

/** Reads and validates the operator token. Stateless and thread-safe. */
final class OperatorToken {
    private static final Pattern VALID = Pattern.compile("[\\x21-\\x7e]{1,1024}");
    private static final int MAX_FILE_BYTES = 4096;

    private OperatorToken() {}

    /** Returns the token in {@code file}, or {@code variable} if {@code file} is null. Rejects null for both. */
    static String read(Path file, String variable) {
        if (file == null && variable == null) {
            throw new CliException(
                    CliErrorCode.WRONG_USE,
                    "the operator token is missing; give --operator-token-file or DAISYSCALE_OPERATOR_TOKEN");
        }
        String token = file == null ? variable : InputFile.read(file, MAX_FILE_BYTES);
        if (!VALID.matcher(token.strip()).matches()) {
            throw new CliException(
                    CliErrorCode.WRONG_USE, "the operator token must have 1 to 1024 visible ASCII characters");
        }
        return token.strip();
    }
}
