package org.wigeonstage.crash;

import java.time.Duration;
import java.util.Set;

/**
 * Whether a request may be sent to a server, by the parts of its prompt.
 *
 * @param kind the decision
 * @param parts the parts that the decision is about
 * @param crashIds the crashes that it rests on
 * @param retryAfter when a held request may be worth another try
 */
public record PromptAdmission(
    Kind kind, Set<String> parts, Set<String> crashIds, Duration retryAfter) {

  static final PromptAdmission ADMITTED =
      new PromptAdmission(Kind.ADMITTED, Set.of(), Set.of(), Duration.ZERO);

  /**
   * Returns whether the request may be sent to a server now.
   *
   * @return whether it is admitted, perhaps as a trial
   */
  public boolean maySend() {
    return kind == Kind.ADMITTED || kind == Kind.TRIAL;
  }

  /** The possible decisions. */
  public enum Kind {
    /** Nothing speaks against the request. */
    ADMITTED,
    /** The request is sent to find out whether its parts still crash servers. */
    TRIAL,
    /** The request must not be sent to a server now; another decision follows soon. */
    DEFERRED,
    /** The request must not be sent to a server. */
    HELD
  }
}
