package org.wigeonstage.http;

import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongConsumer;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ICloseType;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.http.ConnectionEnd.Reason;
import org.wigeonstage.request.HeaderFields;
import org.wigeonstage.request.HttpCall;

/**
 * One request to an {@link HttpServer} and its response. Thread-safe.
 *
 * <p>Writes never block. They write to the socket on the calling thread; the listener of {@link
 * #onDelivered} may run before they return, the action of {@link #onDisconnect} does not. Bytes
 * that the caller's connection can't take yet are queued in memory; they count as delivered once
 * they have been handed to the operating system. Use {@link #undeliveredBytes} and {@link
 * #onDelivered} to apply back-pressure.
 */
public final class ServerExchange {

  private static final long UNKNOWN_LENGTH = -1;

  private final CallerConnection callerConnection;
  private final Connection<?> connection;
  private final CallerRequest request;
  private final HttpResponsePacket response;
  private final byte[] body;

  /** Whether the last part was written, or the response was aborted. */
  private final AtomicBoolean hasEnded = new AtomicBoolean();

  /** Whether all parts were delivered, or the response was aborted. */
  private final AtomicBoolean isCompleted = new AtomicBoolean();

  private LongConsumer deliveryListener = totalBytes -> {};
  private final AtomicReference<@Nullable Runnable> disconnectAction = new AtomicReference<>();
  private final CloseListener<Closeable, ICloseType> closeListener =
      (closeable, type) -> connectionClosed();
  private volatile @Nullable String label;
  private int pendingWrites;
  private long writtenBytes;
  private long deliveredBytes;

  private boolean isAborted;

  /** Whether a thread is in a write method, and therefore handles completions there. */
  private boolean isWriting;

  ServerExchange(CallerConnection callerConnection, CallerRequest request) {
    this.callerConnection = callerConnection;
    this.connection = callerConnection.connection();
    this.request = request;
    this.response = request.response();
    this.body = request.body();
    connection.addCloseListener(closeListener);
  }

  /**
   * Sets how the request is named in logs.
   *
   * @param newLabel the label
   */
  public void setLabel(String newLabel) {
    label = newLabel;
  }

  /** Returns how the request is named in logs, or null if it has no label. */
  @Nullable String label() {
    return label;
  }

  /**
   * Returns when the request arrived and was read.
   *
   * @return the arrival
   */
  public Arrival arrival() {
    return request.arrival();
  }

  /**
   * Returns the HTTP method.
   *
   * @return the method in upper case
   */
  public String method() {
    return request.method();
  }

  /**
   * Returns the path without the query.
   *
   * @return the path
   */
  public String path() {
    return request.path();
  }

  /**
   * Returns the path with the query.
   *
   * @return the path, followed by a question mark and the query if there is one
   */
  public String pathAndQuery() {
    return request.pathAndQuery();
  }

  /**
   * Returns a parameter of the query or of an HTML form in the body.
   *
   * @param name the name of the parameter
   * @return the decoded value, or null if there is no such parameter
   */
  public @Nullable String parameter(String name) {
    return request.parameter(name);
  }

  /**
   * Returns the first header field with a name.
   *
   * @param name the name of the field
   * @return the value, or null if there is no such field
   */
  public @Nullable String header(String name) {
    return request.fields().first(name).orElse(null);
  }

  /**
   * Returns all header fields as sent by the caller.
   *
   * @return the fields, in order
   */
  public HeaderFields fields() {
    return request.fields();
  }

  /**
   * Returns the request body.
   *
   * @return the bytes; must not be modified
   */
  public byte[] body() {
    return body;
  }

  /**
   * Returns the request body as text.
   *
   * @return the body, decoded as UTF-8
   */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /**
   * Creates a call to another server from this request.
   *
   * @param path the path at the other server
   * @return a call with the method, content type and body of this request
   */
  public HttpCall toCall(String path) {
    return new HttpCall(method(), path, request.contentType(), body);
  }

  /**
   * Sends a complete response.
   *
   * @param status the HTTP status code
   * @param contentType the media type, or null for none
   * @param fields further header fields
   * @param data the body
   */
  public void respond(
      int status, @Nullable String contentType, Map<String, String> fields, byte[] data) {
    start(status, contentType, fields, data.length);
    write(data, true);
  }

  /**
   * Sends a complete response with a text body.
   *
   * @param status the HTTP status code
   * @param contentType the media type
   * @param text the body, sent as UTF-8
   */
  public void respond(int status, String contentType, String text) {
    respond(status, contentType, Map.of(), text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Starts a response whose length is not known.
   *
   * @param status the HTTP status code
   * @param contentType the media type, or null for none
   * @param fields further header fields
   */
  public void start(int status, @Nullable String contentType, Map<String, String> fields) {
    start(status, contentType, fields, UNKNOWN_LENGTH);
  }

  private synchronized void start(
      int status, @Nullable String contentType, Map<String, String> fields, long contentLength) {
    if (contentType != null) {
      response.setHeader("Content-Type", contentType);
    }
    fields.forEach(response::setHeader);
    start(status, HeaderFields.NONE, contentLength);
  }

  /**
   * Starts a response with the given header fields; the server adds {@code Date} and the fields
   * that describe the body's length and the connection.
   *
   * @param status the HTTP status code
   * @param fields the header fields, without those that describe the body's length
   * @param contentLength the length of the body in bytes, or -1 if it is not known
   */
  public synchronized void start(int status, HeaderFields fields, long contentLength) {
    response.setStatus(status);
    response.setHeader("Date", DateHeader.now());
    fields.fields().forEach(field -> FieldValues.add(response, field.name(), field.value()));
    if (contentLength >= 0) {
      response.setContentLengthLong(contentLength);
    } else {
      response.setChunked(request.supportsChunking());
    }
    if (!keepsConnection() || callerConnection.isCurrentLast()) {
      response.setHeader("Connection", "close");
    }
  }

  /** Returns whether the connection serves further requests after the response. */
  boolean keepsConnection() {
    String field = response.getHeader("Connection");
    return request.keepsConnection() && !"close".equalsIgnoreCase(field);
  }

  boolean hasCallerAskedToClose() {
    return !request.keepsConnection();
  }

  /**
   * Sends a complete response with the given header fields; the server adds {@code Date} and the
   * fields that describe the body's length and the connection.
   *
   * @param status the HTTP status code
   * @param fields the header fields, without those that describe the body's length
   * @param data the body
   */
  public void respond(int status, HeaderFields fields, byte[] data) {
    start(status, fields, data.length);
    write(data, true);
  }

  /**
   * Returns the number of body bytes that were written but not yet delivered.
   *
   * @return the number of bytes queued for the connection
   */
  public synchronized long undeliveredBytes() {
    return writtenBytes - deliveredBytes;
  }

  /**
   * Returns whether the memory that is held for responses is bounded for all callers together.
   *
   * @return whether the server has a {@link MemoryBound}
   */
  public boolean isMemoryBounded() {
    return callerConnection.bodyMemory().memory().countsAll();
  }

  /**
   * Returns the memory that is held for what was written but not yet delivered.
   *
   * @return the number of bytes; with a {@link MemoryBound}, with what each part takes beside them
   */
  public synchronized long heldBytes() {
    long overhead = isMemoryBounded() ? (long) pendingWrites * BodyMemory.BYTES_PER_WRITE : 0;
    return undeliveredBytes() + overhead;
  }

  private static long heldBytes(int length) {
    return (long) length + BodyMemory.BYTES_PER_WRITE;
  }

  /**
   * Counts what is buffered of the response before it is written.
   *
   * @param bytes the number of bytes, in place of the earlier number
   */
  public void setBufferedBytes(long bytes) {
    callerConnection.bodyMemory().setBuffered(bytes);
  }

  /**
   * Appends to the response body.
   *
   * @param data the bytes; must not be modified afterwards
   */
  public void write(byte[] data) {
    if (data.length > 0) {
      write(data, false);
    }
  }

  /** Ends the response. */
  public void end() {
    write(new byte[0], true);
  }

  private void write(byte[] data, boolean isLast) {
    boolean isDelivered;
    long deliveredBefore;
    long deliveredAfter;
    synchronized (this) {
      if (hasEnded.get()) {
        return;
      }
      hasEnded.set(isLast);
      deliveredBefore = deliveredBytes;
      // For the end of a response of known length, Grizzly writes nothing and reports no
      // completion.
      if (!isLast || data.length > 0 || !response.isCommitted() || response.isChunked()) {
        writtenBytes += data.length;
        pendingWrites++;
        callerConnection.addUnsent(heldBytes(data.length));
        HttpContent content =
            HttpContent.builder(response).content(Buffers.wrap(null, data)).last(isLast).build();
        isWriting = true;
        try {
          socketConnection()
              .write(
                  content,
                  new WriteCompletionHandler(callerConnection, () -> writeCompleted(data.length)));
        } finally {
          isWriting = false;
        }
      }
      deliveredAfter = deliveredBytes;
      isDelivered = isLast && pendingWrites == 0;
    }
    if (isLast) {
      removeListeners();
    }
    if (deliveredAfter > deliveredBefore) {
      callerConnection.runGuarded(() -> deliveryListener.accept(deliveredAfter));
    }
    callerConnection.checkUnsent();
    if (isDelivered) {
      complete();
    }
  }

  /** Lets the connection handle the next request; only the first call has an effect. */
  private void complete() {
    if (isCompleted.compareAndSet(false, true)) {
      callerConnection.completeCurrent(keepsConnection(), hasCallerAskedToClose());
    }
  }

  @SuppressWarnings("unchecked") // connections of a TCP transport have socket addresses
  private Connection<SocketAddress> socketConnection() {
    return (Connection<SocketAddress>) connection;
  }

  /** Aborts the response and closes the connection, so that the caller sees it truncated. */
  public void abort() {
    synchronized (this) {
      isAborted = true;
      hasEnded.set(true);
      isCompleted.set(true);
    }
    removeListeners();
    callerConnection.abort(Reason.BROKEN_OFF);
  }

  /**
   * Returns whether the response has ended.
   *
   * @return whether its last part was written, or it was aborted
   */
  public boolean hasEnded() {
    return hasEnded.get();
  }

  /**
   * Returns whether the whole response was handed to the operating system. A body of known length
   * is whole before {@link #end} is called.
   */
  synchronized boolean isDelivered() {
    boolean isWhole =
        response.getContentLength() >= 0 && writtenBytes >= response.getContentLength();
    boolean hasLastPart = hasEnded.get() || (isWhole && response.isCommitted());
    return hasLastPart && pendingWrites == 0 && !isAborted;
  }

  /** Discards a request that the connection does not accept. */
  void discard() {
    hasEnded.set(true);
    removeListeners();
  }

  /** Returns the memory that is reserved for the request's body. */
  long reservedBytes() {
    return request.reservedBytes();
  }

  /** Returns why the request is refused, or empty if it is to be handled. */
  Optional<CallerRequest.Refusal> refusal() {
    return request.refusal();
  }

  private void removeListeners() {
    disconnectAction.set(null);
    connection.removeCloseListener(closeListener);
  }

  private void connectionClosed() {
    Runnable action = disconnectAction.getAndSet(null);
    if (action == null || hasEnded.get() || isDelivered()) {
      return;
    }
    if (Thread.holdsLock(this)) {
      // A write has failed. The code that writes must not find the request ended when it goes on.
      runOnHandlerThread(() -> callerConnection.runGuarded(action));
    } else {
      callerConnection.runGuarded(action);
    }
  }

  private void runOnHandlerThread(Runnable action) {
    connection.getTransport().getWorkerThreadPool().execute(action);
  }

  /**
   * Sets the listener for the progress of the response, in place of any earlier one.
   *
   * @param listener receives the total number of body bytes delivered so far
   */
  public synchronized void onDelivered(LongConsumer listener) {
    deliveryListener = listener;
  }

  /**
   * Sets the action to run when the caller disconnects before the response has ended, in place of
   * any earlier action. If the connection is already closed, the action runs at once.
   *
   * @param action the action, run at most once
   */
  public void onDisconnect(Runnable action) {
    disconnectAction.set(action);
    if (!connection.isOpen()) {
      connectionClosed();
    }
  }

  /**
   * Runs an action once all data that has already arrived on this exchange's connection is
   * processed.
   *
   * @param action the action, run on a handler thread
   */
  public void afterPendingReads(Runnable action) {
    ReadBarrier.runAfterPendingReads(connection, () -> runOnHandlerThread(action));
  }

  private void writeCompleted(int bytes) {
    long totalBytes;
    boolean isDelivered;
    synchronized (this) {
      deliveredBytes += bytes;
      totalBytes = deliveredBytes;
      pendingWrites--;
      callerConnection.removeUnsent(heldBytes(bytes));
      if (isWriting) {
        return; // the write method goes on with this
      }
      isDelivered = hasEnded.get() && pendingWrites == 0;
    }
    if (bytes > 0) {
      deliveryListener.accept(totalBytes);
    }
    if (isDelivered) {
      complete();
    }
  }
}
