import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run. */
final class Record {

    private static PrintWriter out;

    private Record() {}

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    static synchronized void line(String text) {
        out.println(String.format("%8.3f ", Clock.now() / 1000.0) + text);
        out.flush();
    }
}
