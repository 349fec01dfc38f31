package org.wigeonstage.cli;

import com.google.common.flogger.FluentLogger;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.wigeonstage.common.ControlThreads;
import org.wigeonstage.common.WigeonstageException;
import sun.misc.Signal;

/** Reads a settings file again after SIGHUP, and when it was changed without a signal. */
final class SettingsWatch implements Closeable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long INTERVAL_MILLIS = 1000;

  private final Path file;
  private final Reload reload;
  private final ScheduledExecutorService executor = ControlThreads.single("settings");
  private String text;

  /** Takes over the text of a changed settings file. */
  @FunctionalInterface
  interface Reload {

    /** Checks the settings and takes them over. */
    void accept(String text);
  }

  private SettingsWatch(Path file, String text, Reload reload) {
    this.file = file;
    this.text = text;
    this.reload = reload;
  }

  /** Starts to watch. SIGHUP no longer ends the process. */
  static SettingsWatch start(Path file, Reload reload) throws IOException {
    SettingsWatch watch = new SettingsWatch(file, Files.readString(file), reload);
    Signal.handle(new Signal("HUP"), signal -> watch.executor.execute(watch::read));
    watch.executor.scheduleWithFixedDelay(
        watch::read, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    return watch;
  }

  private void read() {
    try {
      String current = Files.readString(file);
      if (!current.equals(text)) {
        text = current;
        reload.accept(current);
      }
    } catch (IOException | WigeonstageException e) {
      logger.atWarning().log("settings stay as they are: %s", e.getMessage());
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
