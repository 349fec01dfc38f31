package org.wigeonstage.telemetry;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers while the process shuts down. The usual one removes them at
 * once, and the lines about finishing open requests would be lost.
 */
public final class LastingLogManager extends LogManager {

  /** Creates the manager; the logging library does so. */
  public LastingLogManager() {}

  @Override
  public void reset() {
    // The process ends without it.
  }
}
