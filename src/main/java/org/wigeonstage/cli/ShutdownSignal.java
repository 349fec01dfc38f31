package org.wigeonstage.cli;

import com.google.common.flogger.FluentLogger;
import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Handler;
import java.util.logging.Logger;

/** Waits for SIGTERM or SIGINT, then drains and closes the process before it ends. */
final class ShutdownSignal {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Limits the wait for resources to close: a process that was signalled may be killed soon. */
  private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(200);

  /** A process that can be drained. */
  @FunctionalInterface
  interface GracefulStop {

    /** Finishes open requests; returns whether all of them ended in time. */
    boolean stop() throws InterruptedException;
  }

  private ShutdownSignal() {}

  /**
   * Waits for a signal, then drains the process, closes its resources and halts the virtual
   * machine.
   *
   * <p>The virtual machine takes up to 300 ms to halt while threads wait for their sockets, and
   * responds to nothing meanwhile. The sockets and their threads must be closed before that.
   */
  static int await(GracefulStop gracefulStop, Closeable resources) throws InterruptedException {
    CountDownLatch signalled = new CountDownLatch(1);
    Thread hook =
        new Thread(
            () -> {
              signalled.countDown();
              int code = stop(gracefulStop);
              closeInTime(resources);
              flushLogs();
              Runtime.getRuntime().halt(code);
            },
            "shutdown");
    Runtime.getRuntime().addShutdownHook(hook);
    signalled.await();
    hook.join();
    return Command.SUCCESS;
  }

  private static void closeInTime(Closeable resources) {
    Thread closing = new Thread(() -> close(resources), "closing");
    closing.setDaemon(true);
    closing.start();
    try {
      closing.join(CLOSE_TIMEOUT.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void close(Closeable resources) {
    try {
      resources.close();
    } catch (IOException | RuntimeException e) {
      logger.atWarning().withCause(e).log("could not close all resources at shutdown");
    }
  }

  /** Writes buffered log lines: halting also ends the thread that writes them. */
  private static void flushLogs() {
    for (Handler handler : Logger.getLogger("").getHandlers()) {
      handler.flush();
    }
  }

  private static int stop(GracefulStop gracefulStop) {
    try {
      return gracefulStop.stop() ? Command.SUCCESS : Command.FAILURE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Command.FAILURE;
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("could not finish open requests at shutdown");
      return Command.FAILURE;
    }
  }
}
