package org.wigeonstage.store;

import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;

/** Thrown if a call to the platform's object store fails or is refused. */
public final class StoreException extends WigeonstageException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param code the error code
   * @param message a description of the failure
   * @param cause the underlying failure, or null
   */
  public StoreException(ErrorCode code, String message, @Nullable Throwable cause) {
    super(code, message, cause);
  }
}
