package org.wigeonstage.http;

import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;

/** Thrown when a call did not get a complete response. */
public final class CallFailedException extends WigeonstageException {

  private static final long serialVersionUID = 1L;

  private final boolean mayHaveBeenSent;

  /**
   * Creates an exception.
   *
   * @param message the detail message
   * @param mayHaveBeenSent whether the call may have been sent, and thus may have taken effect
   * @param cause the cause, or null if there is none
   */
  public CallFailedException(String message, boolean mayHaveBeenSent, @Nullable Throwable cause) {
    super(ErrorCode.IO, message, cause);
    this.mayHaveBeenSent = mayHaveBeenSent;
  }

  /**
   * Returns whether the call may have been sent, and thus may have taken effect.
   *
   * @return false if the call was certainly not sent
   */
  public boolean mayHaveBeenSent() {
    return mayHaveBeenSent;
  }
}
