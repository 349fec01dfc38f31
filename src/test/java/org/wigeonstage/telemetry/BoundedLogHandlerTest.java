package org.wigeonstage.telemetry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.Polling;

class BoundedLogHandlerTest {

  private static final int LINES = 10_000;

  /** Standard output is not read for a while, so that writes to it block. */
  @Test
  void dropsAndCountsLinesWhileOutputIsBlocked() throws Exception {
    CountDownLatch unblocked = new CountDownLatch(1);
    AtomicInteger writtenLines = new AtomicInteger();
    PrintStream blockedOutput =
        new PrintStream(
            new OutputStream() {
              @Override
              public void write(int value) {
                try {
                  unblocked.await();
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
                writtenLines.addAndGet(value == '\n' ? 1 : 0);
              }
            });
    BoundedLogHandler handler =
        new BoundedLogHandler(
            blockedOutput,
            new SimpleFormatter() {
              @Override
              public String format(LogRecord record) {
                return record.getMessage() + "\n";
              }
            });
    for (int i = 0; i < LINES; i++) {
      handler.publish(new LogRecord(Level.INFO, "line " + i));
    }
    assertThat(handler.dropped()).isPositive();
    unblocked.countDown();
    assertThat(
            Polling.await(
                () -> writtenLines.get() + handler.dropped() == LINES, Duration.ofSeconds(20)))
        .isTrue();
    handler.close();
  }

  /** A process ends right after its last line, on a host where the writer thread is delayed. */
  @Test
  void flushReturnsAfterAllLinesAreWritten() {
    AtomicInteger writtenLines = new AtomicInteger();
    PrintStream slowOutput =
        new PrintStream(
            new OutputStream() {
              @Override
              public void write(int value) {
                try {
                  Thread.sleep(1);
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
                writtenLines.addAndGet(value == '\n' ? 1 : 0);
              }
            });
    BoundedLogHandler handler =
        new BoundedLogHandler(
            slowOutput,
            new SimpleFormatter() {
              @Override
              public String format(LogRecord record) {
                return record.getMessage() + "\n";
              }
            });
    for (int i = 0; i < 5; i++) {
      handler.publish(new LogRecord(Level.INFO, "line " + i));
    }
    handler.flush();
    assertThat(writtenLines.get()).isEqualTo(5);
    handler.close();
  }
}
