package org.wigeonstage.cli;

import com.google.common.flogger.FluentLogger;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.RepeatedTask;
import org.wigeonstage.common.WigeonstageException;
import sun.misc.Signal;

/** Reloads a settings file after SIGHUP, or within about a second of a change without a signal. */
final class SettingsWatch implements Closeable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long POLL_INTERVAL_MILLIS = 1000;

  private final Path file;
  private final ScheduledExecutorService executor =
      ControlExecutors.newSingleThreadExecutor("settings");
  private String lastText;
  private @Nullable ReloadAction reloadAction;

  /** Applies a changed settings file. */
  @FunctionalInterface
  interface ReloadAction {

    /**
     * Checks the settings and applies them.
     *
     * @param text the text of the settings file
     * @throws WigeonstageException if the settings are invalid; the previous ones stay active
     */
    void accept(String text);
  }

  private SettingsWatch(Path file, String text) {
    this.file = file;
    this.lastText = text;
  }

  /**
   * Starts to watch a file. From now on SIGHUP no longer ends the process. Changes since this call
   * are delivered after {@link #deliverTo}.
   */
  static SettingsWatch start(Path file) throws IOException {
    SettingsWatch watch = new SettingsWatch(file, Files.readString(file));
    Signal.handle(new Signal("HUP"), signal -> watch.executor.execute(watch::reloadAfterSignal));
    return watch;
  }

  /** Returns the text that the file contained at the start. */
  String initialText() {
    return lastText;
  }

  /** Calls an action after each change, including those between the start and this call. */
  void deliverTo(ReloadAction action) {
    executor.execute(() -> reloadAction = action);
    RepeatedTask.startWithFixedDelay(
        executor,
        "check of the settings file",
        Duration.ZERO,
        Duration.ofMillis(POLL_INTERVAL_MILLIS),
        this::reloadIfChanged);
  }

  private void reloadAfterSignal() {
    RepeatedTask.runPart("reload after a signal", this::reloadIfChanged);
  }

  private void reloadIfChanged() {
    ReloadAction action = reloadAction;
    if (action == null) {
      return;
    }
    try {
      String current = Files.readString(file);
      if (!current.equals(lastText)) {
        lastText = current;
        action.accept(current);
      }
    } catch (IOException | WigeonstageException e) {
      logger.atWarning().log(
          "cannot reload settings file %s; the previous settings stay active: %s",
          file, e.getMessage());
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
