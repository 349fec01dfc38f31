package org.wigeonstage.http;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.wigeonstage.http.ServerConnectionEnd.Reason;

/**
 * Passes only octets of well-formed responses to Grizzly's codec, which skips header lines that it
 * can't parse and guesses where a body ends.
 */
final class ResponseSyntaxFilter extends BaseFilter {

  @Override
  public NextAction handleRead(FilterChainContext context) {
    Connection<?> connection = context.getConnection();
    ClientExchange exchange = ClientExchange.ATTRIBUTE.get(connection);
    if (exchange == null) {
      ServerConnection.close(connection, Reason.UNEXPECTED_DATA);
      return context.getStopAction();
    }
    try {
      exchange.syntax().check(context.getMessage());
      return context.getInvokeAction();
    } catch (MalformedMessageException e) {
      ServerConnection.closeAfterError(connection, Reason.MALFORMED, e);
      return context.getStopAction();
    }
  }
}
