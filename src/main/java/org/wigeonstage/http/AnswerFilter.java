package org.wigeonstage.http;

import java.io.IOException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;

/** Passes the parts of an answer to its {@link ClientExchange}. */
final class AnswerFilter extends BaseFilter {

  @Override
  public NextAction handleRead(FilterChainContext context) {
    ClientExchange exchange = ClientExchange.ATTRIBUTE.get(context.getConnection());
    HttpContent content = context.getMessage();
    if (exchange == null) {
      return context.getStopAction();
    }
    HttpResponsePacket response = (HttpResponsePacket) content.getHttpHeader();
    exchange.answered(response.getStatus(), response.getContentType());
    Buffer buffer = content.getContent();
    if (buffer.hasRemaining()) {
      byte[] data = new byte[buffer.remaining()];
      buffer.get(data);
      exchange.continued(data);
    }
    boolean last = content.isLast();
    content.recycle();
    if (last) {
      exchange.completed();
      context.getConnection().closeSilently();
      return context.getStopAction();
    }
    return exchange.suspendIfPaused(context) ? context.getSuspendAction() : context.getStopAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    ClientExchange exchange = ClientExchange.ATTRIBUTE.get(context.getConnection());
    if (exchange != null) {
      exchange.closed(new IOException("connection closed before the end of the answer"));
    }
    return context.getStopAction();
  }

  @Override
  public void exceptionOccurred(FilterChainContext context, Throwable error) {
    ClientExchange exchange = ClientExchange.ATTRIBUTE.get(context.getConnection());
    context.getConnection().closeSilently();
    if (exchange != null) {
      exchange.closed(error);
    }
  }
}
