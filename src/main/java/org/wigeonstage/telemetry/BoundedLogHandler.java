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

  /**
   * The pause between two writes, so that the lines of a burst take few wake-ups and system calls.
   * A flush waits for up to one pause.
   */
  private static final Duration WRITE_PAUSE = Duration.ofMillis(20);

  /** The length beyond which nothing is added to a write. */
  private static final int MAX_BATCH_CHARACTERS = 32 * 1024;

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
        writeBatch(lines.take());
        if (lines.isEmpty()) {
          Thread.sleep(WRITE_PAUSE.toMillis());
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes a line and those that wait behind it. */
  private void writeBatch(String first) {
    StringBuilder batch = new StringBuilder(first);
    int lineCount = 1;
    String next = lines.poll();
    while (next != null) {
      batch.append(next);
      lineCount++;
      next = batch.length() < MAX_BATCH_CHARACTERS ? lines.poll() : null;
    }
    out.print(batch);
    out.flush();
    writtenLines.addAndGet(lineCount);
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
