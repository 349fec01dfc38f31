package org.wigeonstage.common;

import org.jspecify.annotations.Nullable;

/** Root of the unchecked exceptions of this project; each carries an {@link ErrorCode}. */
public class WigeonstageException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ErrorCode code;

  /**
   * Creates an exception.
   *
   * @param code the stable code
   * @param message what happened, for a reader
   */
  public WigeonstageException(ErrorCode code, String message) {
    this(code, message, null);
  }

  /**
   * Creates an exception with a cause.
   *
   * @param code the stable code
   * @param message what happened, for a reader
   * @param cause the underlying failure, or null
   */
  public WigeonstageException(ErrorCode code, String message, @Nullable Throwable cause) {
    super(message, cause);
    this.code = code;
  }

  /**
   * Returns the stable code.
   *
   * @return the code
   */
  public ErrorCode code() {
    return code;
  }
}
