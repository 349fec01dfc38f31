package org.wigeonstage.wire;

import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;

/**
 * Thrown when a received frame does not contain a valid message of the protocol, or when a message
 * can't be encoded.
 */
public final class BadFrameException extends WigeonstageException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message the defect of the frame
   * @param cause the cause, or null if there is none
   */
  public BadFrameException(String message, @Nullable Throwable cause) {
    super(ErrorCode.BAD_FRAME, message, cause);
  }
}
