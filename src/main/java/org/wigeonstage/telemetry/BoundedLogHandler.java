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
 * Writes log records on a dedicated thread. If records arrive faster than they can be written, it
 * drops and counts them, so that logging never blocks a request.
 */
final class BoundedLogHandler extends Handler {

  /** The maximum number of lines waiting to be written; they take about 1 MB. */
  private static final int CAPACITY_LINES = 4096;

  /** The maximum duration of a flush; lines not written by then may be lost. */
  private static final Duration FLUSH_TIMEOUT = Duration.ofMillis(200);

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY_LINES);
  private final AtomicLong droppedLines = new AtomicLong();
  private final AtomicLong acceptedLines = new AtomicLong();
  private final AtomicLong writtenLines = new AtomicLong();
  private final PrintStream out;
  private final Duration flushTimeout;
  private final Thread writer;

  BoundedLogHandler(PrintStream out, Formatter formatter) {
    this(out, formatter, FLUSH_TIMEOUT);
  }

  /** Creates a handler with the given maximum duration of a flush. Called directly by tests. */
  BoundedLogHandler(PrintStream out, Formatter formatter, Duration flushTimeout) {
    this.out = out;
    this.flushTimeout = flushTimeout;
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
      acceptedLines.incrementAndGet();
    } else {
      droppedLines.incrementAndGet();
    }
  }

  /** Returns the number of lines dropped so far. */
  long dropped() {
    return droppedLines.get();
  }

  private void writeLines() {
    try {
      while (true) {
        String line = lines.take();
        out.print(line);
        if (lines.isEmpty()) {
          out.flush();
        }
        writtenLines.incrementAndGet();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Waits for all lines to be written, so that an ending process keeps its last ones. Returns after
   * 200 ms at the latest, unless the handler was created with another limit.
   */
  @Override
  public void flush() {
    long deadline = System.nanoTime() + flushTimeout.toNanos();
    try {
      while (writtenLines.get() < acceptedLines.get() && System.nanoTime() < deadline) {
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
