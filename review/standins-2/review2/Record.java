package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file that says what was sent, answered and run, with the time since the start in ms. */
final class Record {

  private final long startedAt = System.nanoTime();
  private final PrintWriter writer;

  Record(Path file) {
    try {
      writer = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  long millis() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }

  synchronized void write(String text) {
    writer.println(millis() + " " + text);
    writer.flush();
  }
}
