package org.wigeonstage.wire;

import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;

/** Thrown where a frame does not hold a message of the protocol. */
public final class BadFrameException extends WigeonstageException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message what is wrong with the frame
   * @param cause the underlying failure, or null
   */
  public BadFrameException(String message, @Nullable Throwable cause) {
    super(ErrorCode.BAD_FRAME, message, cause);
  }
}
