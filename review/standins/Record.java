import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: one line for each thing that was sent, answered or run. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
        out.printf("%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, text);
        out.flush();
    }

    void result(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public void close() {
        out.close();
    }
}
