package org.wigeonstage.cli;

import com.google.common.flogger.FluentLogger;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.WigeonstageException;
import sun.misc.Signal;

/** Reads a settings file again after SIGHUP, and when it was changed without a signal. */
final class SettingsWatch implements Closeable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long POLL_INTERVAL_MILLIS = 1000;

  private final Path file;
  private final ScheduledExecutorService executor =
      ControlExecutors.newSingleThreadExecutor("settings");
  private String text;
  private @Nullable ReloadAction reload;

  /** Takes over the text of a changed settings file. */
  @FunctionalInterface
  interface ReloadAction {

    /** Checks the settings and takes them over. */
    void accept(String text);
  }

  private SettingsWatch(Path file, String text) {
    this.file = file;
    this.text = text;
  }

  /**
   * Starts to watch. From now on SIGHUP no longer ends the process; changes are noted from now on,
   * and delivered once there is something to reload.
   */
  static SettingsWatch start(Path file) throws IOException {
    SettingsWatch watch = new SettingsWatch(file, Files.readString(file));
    Signal.handle(new Signal("HUP"), signal -> watch.executor.execute(watch::reloadIfChanged));
    return watch;
  }

  /** Returns the text that was read at the start. */
  String initialText() {
    return text;
  }

  /** Delivers changes, also those since the start. */
  void deliverTo(ReloadAction target) {
    executor.execute(() -> reload = target);
    executor.scheduleWithFixedDelay(
        this::reloadIfChanged, 0, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void reloadIfChanged() {
    ReloadAction target = reload;
    if (target == null) {
      return;
    }
    try {
      String current = Files.readString(file);
      if (!current.equals(text)) {
        text = current;
        target.accept(current);
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
