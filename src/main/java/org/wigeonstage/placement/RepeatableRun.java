package org.wigeonstage.placement;

/**
 * Runs an action again for each call that was made during a run, instead of running it recursively.
 */
final class RepeatableRun {

  private boolean isRunning;
  private boolean mustRunAgain;

  /** Runs the action until no call was made during its last run, unless it is running already. */
  void run(Runnable action) {
    mustRunAgain = true;
    if (isRunning) {
      return;
    }
    isRunning = true;
    try {
      while (mustRunAgain) {
        mustRunAgain = false;
        action.run();
      }
    } finally {
      isRunning = false;
    }
  }
}
