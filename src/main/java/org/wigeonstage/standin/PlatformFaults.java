package org.wigeonstage.standin;

/**
 * The faults that a platform stand-in simulates.
 *
 * @param outage whether every call fails with an error response
 * @param delayMillis how long each call is delayed, in milliseconds
 * @param loseAnswers whether the connection is broken after a write instead of a response; the
 *     write takes effect
 */
public record PlatformFaults(boolean outage, long delayMillis, boolean loseAnswers) {

  /** No fault. */
  public static final PlatformFaults NONE = new PlatformFaults(false, 0, false);
}
