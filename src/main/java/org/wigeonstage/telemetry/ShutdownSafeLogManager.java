package org.wigeonstage.telemetry;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers while the process shuts down. The default one removes them
 * when the shutdown begins, which would lose the log lines about the completion of open requests.
 */
public final class ShutdownSafeLogManager extends LogManager {

  /** Creates the log manager. Called by {@code java.util.logging}. */
  public ShutdownSafeLogManager() {}

  @Override
  public void reset() {
    // Keeps the handlers until the process ends.
  }
}
