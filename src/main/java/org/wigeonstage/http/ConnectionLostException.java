package org.wigeonstage.http;

import java.io.IOException;
import org.jspecify.annotations.Nullable;

/** Thrown when a connection to a server ended before the response was complete. */
public final class ConnectionLostException extends IOException {

  private static final long serialVersionUID = 1L;

  private final ServerConnectionEnd.Reason reason;

  ConnectionLostException(
      ServerConnectionEnd.Reason reason, String message, @Nullable Throwable cause) {
    super(message, cause);
    this.reason = reason;
  }

  /**
   * Returns why the connection ended.
   *
   * @return the reason, which tells who closed it
   */
  public ServerConnectionEnd.Reason reason() {
    return reason;
  }
}
