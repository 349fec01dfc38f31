package org.wigeonstage.http;

import java.net.SocketAddress;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.wigeonstage.http.ConnectionEnd.Reason;

/** Handles the completion of one write to a caller's connection. */
final class WriteCompletionHandler
    extends EmptyCompletionHandler<WriteResult<Object, SocketAddress>> {

  private final CallerConnection callerConnection;
  private final Runnable onWritten;

  WriteCompletionHandler(CallerConnection callerConnection, Runnable onWritten) {
    this.callerConnection = callerConnection;
    this.onWritten = onWritten;
  }

  @Override
  public void completed(WriteResult<Object, SocketAddress> result) {
    callerConnection.runGuarded(onWritten);
  }

  @Override
  public void failed(Throwable cause) {
    callerConnection.abort(Reason.WRITE_FAILED, cause);
  }
}
