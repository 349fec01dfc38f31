package org.wigeonstage.request;

import java.util.Locale;

/** What became of a request. */
public enum Outcome {
  /** The caller was given the backend server's whole answer. */
  COMPLETED,
  /** The request was dispatched nowhere and never will be. */
  NOT_RUN,
  /** The request may have run; its whole answer is not available. */
  UNKNOWN;

  /**
   * Returns the outcome in the form that callers see.
   *
   * @return the name in lower case with hyphens
   */
  public String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
