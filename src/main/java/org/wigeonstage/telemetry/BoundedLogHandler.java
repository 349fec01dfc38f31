package org.wigeonstage.telemetry;

import java.io.PrintStream;
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

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);
  private final AtomicLong dropped = new AtomicLong();
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
    if (isLoggable(record) && !lines.offer(getFormatter().format(record))) {
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
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void flush() {
    String line = lines.poll();
    while (line != null) {
      out.print(line);
      line = lines.poll();
    }
    out.flush();
  }

  @Override
  public void close() {
    writer.interrupt();
    flush();
  }
}
