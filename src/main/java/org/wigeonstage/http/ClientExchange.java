package org.wigeonstage.http;

import java.io.IOException;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpPacket;
import org.jspecify.annotations.Nullable;

/** One call of an {@link HttpClient}. Safe for use by several threads. */
public final class ClientExchange {

  static final Attribute<ClientExchange> ATTRIBUTE =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("wigeonstage.clientExchange");

  private final AnswerListener listener;
  private @Nullable Connection<?> connection;
  private @Nullable FilterChainContext suspended;
  private boolean paused;
  private boolean aborted;
  private boolean ended;
  private boolean began;

  ClientExchange(AnswerListener listener) {
    this.listener = listener;
  }

  void connected(Connection<?> newConnection, HttpPacket packet) {
    ATTRIBUTE.set(newConnection, this);
    boolean send;
    synchronized (this) {
      connection = newConnection;
      send = !aborted;
    }
    if (send) {
      newConnection.write(packet);
    } else {
      end();
      newConnection.closeSilently();
      listener.notConnected(new IOException("call aborted before it was sent"));
    }
  }

  void connectFailed(Throwable cause) {
    if (end()) {
      listener.notConnected(cause);
    }
  }

  void answered(int status, @Nullable String contentType) {
    if (!began) {
      began = true;
      listener.began(status, contentType);
    }
  }

  void continued(byte[] data) {
    listener.continued(data);
  }

  void completed() {
    if (end()) {
      listener.ended();
    }
  }

  void closed(Throwable cause) {
    if (end()) {
      listener.broken(cause);
    }
  }

  private synchronized boolean end() {
    boolean first = !ended;
    ended = true;
    return first;
  }

  /** Keeps the context of a read while the exchange is paused; returns whether it was kept. */
  synchronized boolean suspendIfPaused(FilterChainContext context) {
    if (!paused || ended) {
      return false;
    }
    context.suspend();
    suspended = context;
    return true;
  }

  /** Stops reading the answer until {@link #resume}. */
  public synchronized void pause() {
    paused = true;
  }

  /** Goes on reading the answer. */
  public void resume() {
    FilterChainContext context;
    synchronized (this) {
      paused = false;
      context = suspended;
      suspended = null;
    }
    if (context != null) {
      context.resume(context.getStopAction());
    }
  }

  /** Closes the connection; the listener is told as of any broken answer. */
  public void abort() {
    Connection<?> current;
    synchronized (this) {
      aborted = true;
      current = connection;
    }
    resume();
    if (current != null) {
      current.closeSilently();
      closed(new IOException("call aborted"));
    }
  }
}
