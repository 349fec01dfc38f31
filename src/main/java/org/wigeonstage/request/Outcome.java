package org.wigeonstage.request;

import java.util.Locale;

/** The outcome of a request. */
public enum Outcome {
  /** The caller received the backend server's complete response. */
  COMPLETED,
  /** The request was not dispatched to any backend server and never will be. */
  NOT_RUN,
  /** The request may have run, but its complete response is not available. */
  UNKNOWN;

  /**
   * Returns the outcome in the form used in header fields and JSON.
   *
   * @return the name in lower case with hyphens
   */
  public String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
