package org.daisyscale.router.internal.platform;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

/** Assembles lines from chunks with arbitrary boundaries; skips empty lines. Not thread-safe. */
final class LineSplitter {
    private final int maxLineBytes;
    private final Consumer<byte[]> onLine;
    private final ByteArrayOutputStream currentLine = new ByteArrayOutputStream();

    LineSplitter(int maxLineBytes, Consumer<byte[]> onLine) {
        this.maxLineBytes = maxLineBytes;
        this.onLine = onLine;
    }

    /** Adds the next chunk; returns false when the incomplete line at its end exceeds the limit. */
    boolean add(byte[] chunk) {
        for (byte next : chunk) {
            if (next == '\n') {
                endLine();
            } else {
                currentLine.write(next);
            }
        }
        return currentLine.size() <= maxLineBytes;
    }

    private void endLine() {
        if (currentLine.size() > 0) {
            byte[] line = currentLine.toByteArray();
            currentLine.reset();
            onLine.accept(line);
        }
    }
}
