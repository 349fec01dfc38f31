package org.wigeonstage.common;

import org.jspecify.annotations.Nullable;

/** Base class of this project's unchecked exceptions. Each has an {@link ErrorCode}. */
public class WigeonstageException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ErrorCode code;

  /**
   * Creates an exception.
   *
   * @param code the error code
   * @param message a description of the failure
   */
  public WigeonstageException(ErrorCode code, String message) {
    this(code, message, null);
  }

  /**
   * Creates an exception with a cause.
   *
   * @param code the error code
   * @param message a description of the failure
   * @param cause the underlying failure, or null
   */
  public WigeonstageException(ErrorCode code, String message, @Nullable Throwable cause) {
    super(message, cause);
    this.code = code;
  }

  /**
   * Returns the error code.
   *
   * @return the error code
   */
  public ErrorCode code() {
    return code;
  }
}
