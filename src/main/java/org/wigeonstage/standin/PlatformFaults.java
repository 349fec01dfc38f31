package org.wigeonstage.standin;

/**
 * Switches of the platform stand-in.
 *
 * @param outage whether every call is refused
 * @param delayMillis how long each answer is held back, in milliseconds
 * @param loseAnswers whether writes take effect and their answers are lost
 */
public record PlatformFaults(boolean outage, long delayMillis, boolean loseAnswers) {

  /** No fault. */
  public static final PlatformFaults NONE = new PlatformFaults(false, 0, false);
}
