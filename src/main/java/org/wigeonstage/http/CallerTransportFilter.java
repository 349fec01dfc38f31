package org.wigeonstage.http;

import java.io.IOException;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.TransportFilter;

/** Reads from callers' connections, and closes one after an error in any filter. */
final class CallerTransportFilter extends TransportFilter {

  @Override
  public void exceptionOccurred(FilterChainContext context, Throwable cause) {
    CallerConnection connection = CallerConnection.of(context.getConnection());
    if (connection == null || cause instanceof IOException) {
      super.exceptionOccurred(context, cause);
    } else {
      connection.endAfterError(cause);
    }
  }
}
