package org.wigeonstage.cli;

import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;

/** Thrown if the command line is invalid. */
final class UsageException extends WigeonstageException {

  private static final long serialVersionUID = 1L;

  UsageException(String message) {
    super(ErrorCode.USAGE, message);
  }
}
