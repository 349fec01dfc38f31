package org.wigeonstage.http;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.http.ServerConnectionEnd.Reason;

/** One call of an {@link HttpClient} or {@link PooledHttpClient}. Thread-safe. */
public final class ClientExchange {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The interval in seconds between two log lines about errors of listeners. */
  private static final int LOG_INTERVAL_SECONDS = 10;

  static final Attribute<ClientExchange> ATTRIBUTE =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("wigeonstage.clientExchange");

  /** Receives the connection of a completed exchange. */
  @FunctionalInterface
  interface ConnectionReleaser {

    /** Closes the connection, or keeps it for another call if it is reusable. */
    void release(Connection<?> connection, boolean isReusable);
  }

  private final ResponseListener listener;
  private final ConnectionReleaser releaser;
  private final MonotonicClock clock;
  private final ResponseSyntax syntax = new ResponseSyntax();
  private @Nullable Connection<?> connection;
  private @Nullable FilterChainContext suspendedRead;
  private boolean isPaused;
  private boolean isAborted;
  private boolean hasEnded;
  private volatile boolean hasResponseStarted;
  private volatile boolean endsWithConnection;
  private volatile boolean usesNewConnection = true;
  private volatile boolean hasRequestBody;
  private volatile Runnable lostBeforeResponseAction = () -> {};
  private volatile @Nullable Duration connectionObtainedAt;
  private volatile @Nullable Duration writtenAt;

  ClientExchange(ResponseListener listener, MonotonicClock clock) {
    this(
        listener,
        clock,
        (connection, isReusable) -> ServerConnection.close(connection, Reason.NOT_REUSABLE));
  }

  ClientExchange(ResponseListener listener, MonotonicClock clock, ConnectionReleaser releaser) {
    this.listener = listener;
    this.clock = clock;
    this.releaser = releaser;
  }

  /** Sends the request on a connection, unless the call was aborted before. */
  @SuppressWarnings("unchecked") // connections of a TCP transport have socket addresses
  void connected(Connection<?> newConnection, HttpPacket packet) {
    HttpRequestPacket head = (HttpRequestPacket) packet.getHttpHeader();
    hasRequestBody = head.getContentLength() > 0;
    if (head.isHeadRequest()) {
      syntax.expectNoBody();
    }
    ATTRIBUTE.set(newConnection, this);
    boolean mustSend;
    connectionObtainedAt = clock.elapsed();
    synchronized (this) {
      connection = newConnection;
      mustSend = !isAborted;
    }
    if (mustSend) {
      ((Connection<SocketAddress>) newConnection).write(packet, writeHandler(newConnection));
    } else {
      ATTRIBUTE.remove(newConnection);
      ServerConnection.close(newConnection, Reason.ABORTED);
      connectFailed(new IOException("call aborted before it was sent"));
    }
  }

  private CompletionHandler<WriteResult<Object, SocketAddress>> writeHandler(Connection<?> target) {
    return new EmptyCompletionHandler<>() {
      @Override
      public void completed(WriteResult<Object, SocketAddress> result) {
        recordWritten();
      }

      @Override
      public void failed(Throwable cause) {
        ServerConnection.recordEndReason(target, Reason.WRITE_FAILED);
        connectionLost(ServerConnection.endReason(target), cause);
      }
    };
  }

  /** Records that the connection has served other calls. */
  void markConnectionReused() {
    usesNewConnection = false;
  }

  /**
   * Returns whether the call is the first one on its connection.
   *
   * @return false if the connection has served other calls before
   */
  public boolean usesNewConnection() {
    return usesNewConnection;
  }

  /**
   * Sets the action to run when the connection is lost before the response starts. {@link #abort}
   * does not run it.
   */
  void onLostBeforeResponse(Runnable action) {
    lostBeforeResponseAction = action;
  }

  void connectFailed(Throwable cause) {
    if (markEnded()) {
      notifyListener(() -> listener.onConnectFailure(cause));
    }
  }

  /** Ends the exchange because an error has interrupted the sending of the request. */
  void sendFailed(Throwable cause) {
    if (cancelIfUnsent()) {
      connectFailed(cause);
    } else {
      closeAfterError(cause);
    }
  }

  /** Closes the connection, and ends the exchange, because of an error in this process. */
  private void closeAfterError(Throwable cause) {
    Connection<?> current;
    synchronized (this) {
      current = hasEnded ? null : connection;
    }
    if (current != null) {
      ServerConnection.recordEndReason(current, Reason.HANDLING_FAILED);
      connectionLost(Reason.HANDLING_FAILED, cause);
      ServerConnection.close(current, Reason.HANDLING_FAILED);
    }
  }

  /** Calls the listener; an error in it ends the exchange, but not the calling thread's work. */
  private void notifyListener(Runnable call) {
    try {
      call.run();
    } catch (RuntimeException | Error e) {
      logger.atSevere().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).withCause(e).log(
          "part of a response could not be handled; its connection is closed");
      closeAfterError(e);
    }
  }

  /** Returns the check of the response, to be used by the selector thread of the connection. */
  ResponseSyntax syntax() {
    return syntax;
  }

  /** Passes the head of the response to the listener, unless this was done before. */
  void responseStarted(Supplier<ResponseHead> head) {
    if (!hasResponseStarted) {
      ResponseHead received = head.get();
      endsWithConnection = !received.isFramed();
      hasResponseStarted = true;
      notifyListener(() -> listener.onHead(received));
    }
  }

  void dataReceived(byte[] data) {
    if (!hasEnded()) {
      notifyListener(() -> listener.onData(data));
    }
  }

  /** Ends the exchange after the complete response, and releases the connection. */
  void responseCompleted(Connection<?> source, boolean isReusable) {
    ATTRIBUTE.remove(source);
    boolean isFirst = markEnded();
    releaser.release(
        source, isReusable && isFirst && writtenAt != null && !syntax.hasOctetsBehindEnd());
    if (isFirst) {
      notifyListener(listener::onComplete);
    }
  }

  /** Returns whether a request with a body is sent on the connection. */
  boolean hasRequestBody() {
    return hasRequestBody;
  }

  /** Records that the whole request was handed to the operating system. */
  void recordWritten() {
    writtenAt = clock.elapsed();
  }

  /**
   * Returns when the call obtained a new or idle connection to send the request on.
   *
   * @return the time, or empty if there is no connection yet
   */
  public Optional<Duration> connectionObtainedAt() {
    return Optional.ofNullable(connectionObtainedAt);
  }

  /**
   * Returns when the whole request had been handed to the operating system.
   *
   * @return the time, or empty if this has not happened yet
   */
  public Optional<Duration> writtenAt() {
    return Optional.ofNullable(writtenAt);
  }

  /** Returns whether the call has obtained a connection. */
  public synchronized boolean isConnected() {
    return connection != null;
  }

  /**
   * Ends the exchange after the end of its connection, unless it has ended already. An orderly end
   * completes a response that does not show itself where its body ends, if the server can have read
   * the whole request.
   */
  void connectionEnded(
      Connection<?> source, boolean isOrderly, Reason reason, @Nullable Throwable cause) {
    if (isCompletedByEnd(isOrderly)) {
      responseCompleted(source, false);
    } else {
      connectionLost(reason, cause);
    }
  }

  /** Returns whether the end of the connection completes the response. */
  boolean isCompletedByEnd(boolean isOrderly) {
    return isOrderly && endsWithConnection && writtenAt != null;
  }

  /**
   * Returns why the response ends with its connection. A response without a length whose server has
   * closed the connection of an unwritten request is cut off at an unknown place.
   */
  Reason endReason(Reason reason) {
    boolean isUnwritten = endsWithConnection && writtenAt == null;
    return reason == Reason.SERVER_CLOSED && isUnwritten ? Reason.REQUEST_UNWRITTEN : reason;
  }

  /** Ends the exchange after its connection was lost, unless it has ended already. */
  void connectionLost(Reason reason, @Nullable Throwable cause) {
    if (markEnded()) {
      if (!hasResponseStarted && !isAborted()) {
        lostBeforeResponseAction.run();
      }
      String message =
          cause == null ? "connection closed before the end of the response" : cause.toString();
      notifyListener(
          () -> listener.onFailure(new ConnectionLostException(endReason(reason), message, cause)));
    }
  }

  private synchronized boolean hasEnded() {
    return hasEnded;
  }

  private synchronized boolean isAborted() {
    return isAborted;
  }

  /** Marks the exchange as ended; returns whether this is the first call. */
  private synchronized boolean markEnded() {
    boolean isFirst = !hasEnded;
    hasEnded = true;
    return isFirst;
  }

  /** Suspends a read if the exchange is paused; returns whether the read was suspended. */
  synchronized boolean suspendIfPaused(FilterChainContext context) {
    if (!isPaused || hasEnded) {
      return false;
    }
    context.suspend();
    suspendedRead = context;
    return true;
  }

  /** Stops reading the response until {@link #resume} is called. */
  public synchronized void pause() {
    isPaused = true;
  }

  /** Continues to read the response. */
  public void resume() {
    FilterChainContext context;
    synchronized (this) {
      isPaused = false;
      context = suspendedRead;
      suspendedRead = null;
    }
    if (context != null) {
      context.resume(context.getStopAction());
    }
  }

  /**
   * Cancels the call if it has no connection yet, so that nothing was sent. The listener receives
   * {@link ResponseListener#onConnectFailure} later, when the connection is established or fails.
   *
   * @return true if nothing was sent and nothing will be; false if the call continues
   */
  public synchronized boolean cancelIfUnsent() {
    if (connection != null) {
      return false;
    }
    isAborted = true;
    return true;
  }

  /**
   * Aborts the call and closes its connection. The listener receives {@link
   * ResponseListener#onFailure}, as for a lost connection. If there is no connection yet, the
   * listener receives {@link ResponseListener#onConnectFailure} later instead, when the connection
   * is established or fails. After the complete response, this method does not close the
   * connection, because it may already serve another call.
   */
  public void abort() {
    Connection<?> current;
    synchronized (this) {
      isAborted = true;
      current = hasEnded ? null : connection;
      hasEnded |= current != null;
    }
    resume();
    if (current != null) {
      ServerConnection.close(current, Reason.ABORTED);
      notifyListener(
          () ->
              listener.onFailure(
                  new ConnectionLostException(Reason.ABORTED, "call aborted", null)));
    }
  }
}
