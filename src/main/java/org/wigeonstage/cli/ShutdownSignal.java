package org.wigeonstage.cli;

import com.google.common.flogger.FluentLogger;
import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Handler;
import java.util.logging.Logger;

/** Lets the main thread wait for SIGTERM or SIGINT and finish its work before the process ends. */
final class ShutdownSignal {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Closing waits for threads, which a process that is about to be killed can't do for long. */
  private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(200);

  /** Work that ends gracefully. */
  @FunctionalInterface
  interface GracefulStop {

    /** Finishes open work; returns whether nothing was cut off. */
    boolean stop() throws InterruptedException;
  }

  private ShutdownSignal() {}

  /**
   * Waits for a signal, then stops, closes what is open and halts the process.
   *
   * <p>The virtual machine takes up to 300 ms to halt while threads wait for their sockets, and
   * answers nothing meanwhile. The sockets and their threads must be closed before that.
   */
  static int await(GracefulStop work, Closeable resources) throws InterruptedException {
    CountDownLatch signalled = new CountDownLatch(1);
    Thread hook =
        new Thread(
            () -> {
              signalled.countDown();
              int code = stop(work);
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
      logger.atWarning().withCause(e).log("not everything could be closed before the end");
    }
  }

  /** Halting ends the thread that writes logs, too. */
  private static void flushLogs() {
    for (Handler handler : Logger.getLogger("").getHandlers()) {
      handler.flush();
    }
  }

  private static int stop(GracefulStop work) {
    try {
      return work.stop() ? Command.SUCCESS : Command.FAILURE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Command.FAILURE;
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("shutdown failed");
      return Command.FAILURE;
    }
  }
}
