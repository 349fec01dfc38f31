package org.wigeonstage.cli;

import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;

/** Thrown where the command line can't be understood. */
final class UsageException extends WigeonstageException {

  private static final long serialVersionUID = 1L;

  UsageException(String message) {
    super(ErrorCode.USAGE, message);
  }
}
