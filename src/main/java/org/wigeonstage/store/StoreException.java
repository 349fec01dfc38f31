package org.wigeonstage.store;

import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;

/** Thrown where a call to the platform's object API was refused or failed. */
public final class StoreException extends WigeonstageException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param code the stable code
   * @param message what happened
   * @param cause the underlying failure, or null
   */
  public StoreException(ErrorCode code, String message, @Nullable Throwable cause) {
    super(code, message, cause);
  }
}
