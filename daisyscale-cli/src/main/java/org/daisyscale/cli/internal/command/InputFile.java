package org.daisyscale.cli.internal.command;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;

/** Reads UTF-8 files up to a size limit. Stateless and thread-safe. */
final class InputFile {
    private InputFile() {}

    /** Returns the text of {@code file}; fails if it has more than {@code maxBytes} bytes or is not UTF-8. */
    static String read(Path file, int maxBytes) {
        try (InputStream stream = Files.newInputStream(file)) {
            byte[] bytes = stream.readNBytes(maxBytes + 1);
            if (bytes.length > maxBytes) {
                throw unreadable(file, "it has more than %d bytes".formatted(maxBytes), null);
            }
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException cause) {
            throw unreadable(file, "it is not UTF-8 text", cause);
        } catch (IOException cause) {
            throw unreadable(file, cause.getClass().getSimpleName(), cause);
        }
    }

    private static CliException unreadable(Path file, String detail, Throwable cause) {
        return new CliException(CliErrorCode.FILE_UNREADABLE, "%s: %s".formatted(file, detail), cause);
    }
}
