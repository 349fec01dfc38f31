package org.wigeonstage.telemetry;

import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log records from a thread of its own. Where they come faster than they can be written, it
 * drops and counts them, so that logging never blocks a request.
 */
final class BoundedLogHandler extends Handler {

  /** The most lines that wait to be written; about 1 MB. */
  private static final int CAPACITY = 4096;

  /** The longest time that a flush takes; a reader that is slower loses lines. */
  private static final Duration FLUSH_LIMIT = Duration.ofMillis(200);

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong accepted = new AtomicLong();
  private final AtomicLong written = new AtomicLong();
  private final PrintStream out;
  private final Thread writer;

  BoundedLogHandler(PrintStream out, Formatter formatter) {
    this.out = out;
    setFormatter(formatter);
    this.writer = new Thread(this::writeLines, "log-writer");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(LogRecord record) {
    if (!isLoggable(record)) {
      return;
    }
    if (lines.offer(getFormatter().format(record))) {
      accepted.incrementAndGet();
    } else {
      dropped.incrementAndGet();
    }
  }

  /** Returns how many lines were dropped. */
  long dropped() {
    return dropped.get();
  }

  private void writeLines() {
    try {
      while (true) {
        String line = lines.take();
        out.print(line);
        if (lines.isEmpty()) {
          out.flush();
        }
        written.incrementAndGet();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits a moment until all lines are written, so that a process ends with its last ones. */
  @Override
  public void flush() {
    long end = System.nanoTime() + FLUSH_LIMIT.toNanos();
    try {
      while (written.get() < accepted.get() && System.nanoTime() < end) {
        Thread.sleep(1);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    flush();
    writer.interrupt();
  }
}
