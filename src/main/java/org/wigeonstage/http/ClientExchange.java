package org.wigeonstage.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpPacket;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.MonotonicClock;

/** One call of an {@link HttpClient}. Safe for use by several threads. */
public final class ClientExchange {

  static final Attribute<ClientExchange> ATTRIBUTE =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("wigeonstage.clientExchange");

  /** Takes over a connection whose answer is complete. */
  @FunctionalInterface
  interface Releaser {

    /** Closes the connection or keeps it for the next call. */
    void release(Connection<?> connection, boolean reusable);
  }

  private final ResponseListener listener;
  private final Releaser releaser;
  private final MonotonicClock clock;
  private @Nullable Connection<?> connection;
  private @Nullable FilterChainContext suspended;
  private boolean paused;
  private boolean aborted;
  private boolean ended;
  private volatile boolean began;
  private volatile Runnable whenLostUnanswered = () -> {};
  private volatile @Nullable Duration connectedAt;
  private volatile @Nullable Duration writtenAt;

  ClientExchange(ResponseListener listener, MonotonicClock clock) {
    this(listener, clock, (connection, reusable) -> connection.closeSilently());
  }

  ClientExchange(ResponseListener listener, MonotonicClock clock, Releaser releaser) {
    this.listener = listener;
    this.clock = clock;
    this.releaser = releaser;
  }

  @SuppressWarnings("unchecked") // connections of a TCP transport have socket addresses
  void connected(Connection<?> newConnection, HttpPacket packet) {
    ATTRIBUTE.set(newConnection, this);
    boolean send;
    connectedAt = clock.elapsed();
    synchronized (this) {
      connection = newConnection;
      send = !aborted;
    }
    if (send) {
      ((Connection<SocketAddress>) newConnection).write(packet, whenWritten());
    } else {
      end();
      newConnection.closeSilently();
      listener.onConnectFailure(new IOException("call aborted before it was sent"));
    }
  }

  private CompletionHandler<WriteResult<Object, SocketAddress>> whenWritten() {
    return new EmptyCompletionHandler<>() {
      @Override
      public void completed(WriteResult<Object, SocketAddress> result) {
        written();
      }

      @Override
      public void failed(Throwable cause) {
        closed(cause);
      }
    };
  }

  /** Sets what is run where the connection ends before the answer begins, but by {@link #abort}. */
  void onLostUnanswered(Runnable action) {
    whenLostUnanswered = action;
  }

  void connectFailed(Throwable cause) {
    if (end()) {
      listener.onConnectFailure(cause);
    }
  }

  void answered(Supplier<ResponseHead> head) {
    if (!began) {
      began = true;
      listener.onHead(head.get());
    }
  }

  void continued(byte[] data) {
    listener.onData(data);
  }

  void completed(Connection<?> source, boolean reusable) {
    ATTRIBUTE.remove(source);
    boolean first = end();
    releaser.release(source, reusable && first && writtenAt != null);
    if (first) {
      listener.onComplete();
    }
  }

  /** Notes that the whole request has been handed to the system. */
  void written() {
    writtenAt = clock.elapsed();
  }

  /**
   * Returns when there was a connection to send the request on.
   *
   * @return the time, or empty while there is none
   */
  public Optional<Duration> connectedAt() {
    return Optional.ofNullable(connectedAt);
  }

  /**
   * Returns when the whole request had been handed to the system.
   *
   * @return the time, or empty before that
   */
  public Optional<Duration> writtenAt() {
    return Optional.ofNullable(writtenAt);
  }

  /** Returns whether the connection was established. */
  public synchronized boolean isConnected() {
    return connection != null;
  }

  void closed(Throwable cause) {
    if (end()) {
      if (!began && !isAborted()) {
        whenLostUnanswered.run();
      }
      listener.onFailure(cause);
    }
  }

  private synchronized boolean isAborted() {
    return aborted;
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

  /**
   * Gives the call up if nothing of it was sent yet.
   *
   * @return whether nothing was sent, nor ever will be
   */
  public synchronized boolean cancelIfUnsent() {
    if (connection != null) {
      return false;
    }
    aborted = true;
    return true;
  }

  /**
   * Closes the connection; the listener is told as of any broken answer. After the whole answer,
   * the connection may serve another call, and is left alone.
   */
  public void abort() {
    Connection<?> current;
    synchronized (this) {
      aborted = true;
      current = ended ? null : connection;
      ended |= current != null;
    }
    resume();
    if (current != null) {
      current.closeSilently();
      listener.onFailure(new IOException("call aborted"));
    }
  }
}
