package org.wigeonstage.http;

import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;

/** Thrown where a call got no whole answer. */
public final class CallFailedException extends WigeonstageException {

  private static final long serialVersionUID = 1L;

  private final boolean mayHaveBeenSent;

  /**
   * Creates an exception.
   *
   * @param message what happened
   * @param mayHaveBeenSent whether the call may have taken effect
   * @param cause the underlying failure, or null
   */
  public CallFailedException(String message, boolean mayHaveBeenSent, @Nullable Throwable cause) {
    super(ErrorCode.IO, message, cause);
    this.mayHaveBeenSent = mayHaveBeenSent;
  }

  /**
   * Tells whether the call may have taken effect.
   *
   * @return false where the call was certainly not sent
   */
  public boolean mayHaveBeenSent() {
    return mayHaveBeenSent;
  }
}
