package org.wigeonstage.telemetry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.Polling;

class BoundedLogHandlerTest {

  private static final int LINES = 10_000;

  /** Far longer than a flush of five lines takes, also on a busy machine. */
  private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(20);

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

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

  /**
   * A process ends right after its last line, on a host where the writer thread is delayed. The
   * output completes a line only after flush has checked, while that line was being written,
   * whether it may return. All five lines are therefore unwritten when flush starts, and a flush
   * that doesn't wait for the last one returns too early, however fast the threads run.
   */
  @Test
  void flushReturnsAfterAllLinesAreWritten() {
    Thread caller = Thread.currentThread();
    AtomicInteger writtenLines = new AtomicInteger();
    PrintStream delayedOutput =
        new PrintStream(
            new OutputStream() {
              @Override
              public void write(int value) {
                if (value == '\n' && awaitCheckInFlush(caller)) {
                  writtenLines.incrementAndGet();
                }
              }
            });
    BoundedLogHandler handler =
        new BoundedLogHandler(
            delayedOutput,
            new SimpleFormatter() {
              @Override
              public String format(LogRecord record) {
                return record.getMessage() + "\n";
              }
            },
            FLUSH_TIMEOUT);
    for (int i = 0; i < 5; i++) {
      handler.publish(new LogRecord(Level.INFO, "line " + i));
    }
    handler.flush();
    assertThat(writtenLines.get()).isEqualTo(5);
    handler.close();
  }

  /**
   * Waits until the thread was seen in two different waits within flush. Between them, flush has
   * checked whether it may return. Returns false if that doesn't happen within the timeout.
   */
  private static boolean awaitCheckInFlush(Thread caller) {
    AtomicLong firstWait = new AtomicLong(Long.MAX_VALUE);
    try {
      return Polling.await(
          () -> {
            ThreadInfo thread = THREADS.getThreadInfo(caller.getId(), Integer.MAX_VALUE);
            if (!isWaitingInFlush(thread)) {
              return false;
            }
            long wait = thread.getWaitedCount();
            return wait > firstWait.accumulateAndGet(wait, Math::min);
          },
          FLUSH_TIMEOUT);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private static boolean isWaitingInFlush(ThreadInfo thread) {
    return thread.getThreadState() == Thread.State.TIMED_WAITING
        && Arrays.stream(thread.getStackTrace())
            .anyMatch(
                frame ->
                    frame.getClassName().equals(BoundedLogHandler.class.getName())
                        && frame.getMethodName().equals("flush"));
  }
}
