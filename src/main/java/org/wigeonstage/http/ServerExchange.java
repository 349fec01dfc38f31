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
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.ICloseType;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.http.ConnectionEnd.Reason;
import org.wigeonstage.request.HeaderFields;
import org.wigeonstage.request.HttpCall;

/**
 * One request at an {@link HttpServer}, and its answer. Safe for use by several threads.
 *
 * <p>Answers are written as fast as the peer takes them; what it has not taken yet waits at its
 * connection, and the consumer given to {@link #onDelivered} learns what it has taken.
 */
public final class ServerExchange {

  private static final long LENGTH_OPEN = -1;

  private final CallerConnection owner;
  private final Connection<?> connection;
  private final CallerRequest request;
  private final HttpResponsePacket response;
  private final byte[] body;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final AtomicBoolean finished = new AtomicBoolean();
  private LongConsumer consumedListener = offset -> {};
  private final AtomicReference<@Nullable Runnable> goneAction = new AtomicReference<>();
  private final CloseListener<Closeable, ICloseType> closeListener =
      (closeable, type) -> peerClosed();
  private int writes;
  private long written;
  private long consumed;

  ServerExchange(CallerConnection owner, CallerRequest request) {
    this.owner = owner;
    this.connection = owner.connection();
    this.request = request;
    this.response = request.response();
    this.body = request.body();
    connection.addCloseListener(closeListener);
  }

  /**
   * Returns when the request came in.
   *
   * @return its arrival
   */
  public Arrival arrival() {
    return request.arrival();
  }

  /**
   * Returns the HTTP method.
   *
   * @return the method in capitals
   */
  public String method() {
    return request.method();
  }

  /**
   * Returns the path without its query.
   *
   * @return the path
   */
  public String path() {
    return request.path();
  }

  /**
   * Returns the path with its query.
   *
   * @return the path, and the query behind a question mark
   */
  public String pathAndQuery() {
    return request.pathAndQuery();
  }

  /**
   * Returns a parameter of the query or of a posted form.
   *
   * @param name the parameter's name
   * @return its value, or null
   */
  public @Nullable String parameter(String name) {
    return request.parameter(name);
  }

  /**
   * Returns a header field.
   *
   * @param name the field's name
   * @return its value, or null
   */
  public @Nullable String header(String name) {
    return request.fields().first(name).orElse(null);
  }

  /**
   * Returns all header fields as they were sent.
   *
   * @return the fields, in order
   */
  public HeaderFields fields() {
    return request.fields();
  }

  /**
   * Returns the body.
   *
   * @return the bytes, not to be modified
   */
  public byte[] body() {
    return body;
  }

  /**
   * Returns the body as text.
   *
   * @return the body, read as UTF-8
   */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /**
   * Returns the request as a call to another server.
   *
   * @param path the path at that server
   * @return the call
   */
  public HttpCall toCall(String path) {
    return new HttpCall(method(), path, request.contentType(), body);
  }

  /**
   * Answers the whole request.
   *
   * @param status the HTTP status
   * @param contentType the media type, or null
   * @param headers further header fields
   * @param data the body
   */
  public void respond(
      int status, @Nullable String contentType, Map<String, String> headers, byte[] data) {
    start(status, contentType, headers, data.length);
    writeLast(data);
  }

  /**
   * Answers with text.
   *
   * @param status the HTTP status
   * @param contentType the media type
   * @param text the body
   */
  public void respond(int status, String contentType, String text) {
    respond(status, contentType, Map.of(), text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Begins an answer.
   *
   * @param status the HTTP status
   * @param contentType the media type, or null
   * @param headers further header fields
   */
  public void start(int status, @Nullable String contentType, Map<String, String> headers) {
    start(status, contentType, headers, LENGTH_OPEN);
  }

  private synchronized void start(
      int status, @Nullable String contentType, Map<String, String> headers, long contentLength) {
    if (contentType != null) {
      response.setHeader("Content-Type", contentType);
    }
    headers.forEach(response::setHeader);
    start(status, HeaderFields.NONE, contentLength);
  }

  /**
   * Begins an answer with exactly the given fields.
   *
   * @param status the HTTP status
   * @param fields the header fields, without those that describe the body's length
   * @param contentLength the length of the body in bytes, or -1 where it is not known
   */
  public synchronized void start(int status, HeaderFields fields, long contentLength) {
    response.setStatus(status);
    response.setHeader("Date", DateField.now());
    fields.fields().forEach(field -> response.addHeader(field.name(), field.value()));
    if (contentLength >= 0) {
      response.setContentLengthLong(contentLength);
    } else {
      response.setChunked(request.isChunkable());
    }
    if (!keepsConnection() || owner.endsAfterThis()) {
      response.setHeader("Connection", "close");
    }
  }

  private boolean keepsConnection() {
    String field = response.getHeader("Connection");
    return request.keepsConnection() && !"close".equalsIgnoreCase(field);
  }

  /**
   * Answers the whole request with exactly the given fields.
   *
   * @param status the HTTP status
   * @param fields the header fields, without those that describe the body's length
   * @param data the body
   */
  public void respond(int status, HeaderFields fields, byte[] data) {
    start(status, fields, data.length);
    writeLast(data);
  }

  /**
   * Returns how many bytes of the answer the peer has not taken yet.
   *
   * @return the number of bytes that wait
   */
  public synchronized long undeliveredBytes() {
    return written - consumed;
  }

  /**
   * Adds to the answer's body.
   *
   * @param data the bytes, not to be modified afterwards
   */
  public void write(byte[] data) {
    if (data.length > 0) {
      send(data, false);
    }
  }

  /** Ends the answer. */
  public void end() {
    writeLast(new byte[0]);
  }

  private void writeLast(byte[] data) {
    send(data, true);
  }

  private void send(byte[] data, boolean isLast) {
    boolean isDone;
    synchronized (this) {
      if (closed.get()) {
        return;
      }
      closed.set(isLast);
      // The codec writes nothing for the end of an answer of known length, and does not report it.
      if (!isLast || data.length > 0 || !response.isCommitted() || response.isChunked()) {
        written += data.length;
        writes++;
        HttpContent content =
            HttpContent.builder(response).content(Buffers.wrap(null, data)).last(isLast).build();
        sink().write(content, new WhenWritten(data.length));
      }
      isDone = isLast && writes == 0;
    }
    if (isLast) {
      stopListening();
    }
    if (isDone) {
      answered();
    }
  }

  /** Goes on with the connection once the whole answer has been taken. */
  private void answered() {
    if (finished.compareAndSet(false, true)) {
      owner.answered(keepsConnection(), !request.keepsConnection());
    }
  }

  @SuppressWarnings("unchecked") // connections of a TCP transport have socket addresses
  private Connection<SocketAddress> sink() {
    return (Connection<SocketAddress>) connection;
  }

  /** Closes the connection, so that the peer sees the answer broken off. */
  public void abort() {
    synchronized (this) {
      closed.set(true);
      finished.set(true);
    }
    stopListening();
    owner.cutOff(Reason.BROKEN_OFF);
  }

  /** Forgets a request that the connection does not take. */
  void discard() {
    closed.set(true);
    stopListening();
  }

  /** Returns why the request is not handled, or empty where it is. */
  Optional<CallerRequest.Refusal> refusal() {
    return request.refusal();
  }

  private void stopListening() {
    goneAction.set(null);
    connection.removeCloseListener(closeListener);
  }

  private void peerClosed() {
    Runnable action = goneAction.getAndSet(null);
    if (action != null && !closed.get()) {
      action.run();
    }
  }

  /**
   * Sets what learns how many bytes of the body the peer has taken.
   *
   * @param listener takes the number of bytes so far
   */
  public synchronized void onDelivered(LongConsumer listener) {
    consumedListener = listener;
  }

  /**
   * Sets what is run where the peer closes the connection before the answer's end, in place of what
   * was set before. If it has closed already, the action is run at once.
   *
   * @param action the action
   */
  public void onDisconnect(Runnable action) {
    goneAction.set(action);
    if (!connection.isOpen()) {
      peerClosed();
    }
  }

  /**
   * Runs an action once all is handled that has arrived by now on this exchange's connection.
   *
   * @param action what to run, on a thread that handles requests
   */
  public void afterPendingReads(Runnable action) {
    ReadBarrier.pass(
        connection, () -> connection.getTransport().getWorkerThreadPool().execute(action));
  }

  private void taken(int bytes) {
    long progress;
    boolean isDone;
    synchronized (this) {
      consumed += bytes;
      progress = consumed;
      writes--;
      isDone = closed.get() && writes == 0;
    }
    if (bytes > 0) {
      consumedListener.accept(progress);
    }
    if (isDone) {
      answered();
    }
  }

  /** Notes what the peer has taken. */
  private final class WhenWritten
      extends EmptyCompletionHandler<WriteResult<Object, SocketAddress>> {

    private final int bytes;

    WhenWritten(int bytes) {
      this.bytes = bytes;
    }

    @Override
    public void completed(WriteResult<Object, SocketAddress> result) {
      taken(bytes);
    }

    @Override
    public void failed(Throwable cause) {
      owner.cutOff(Reason.WRITE_FAILED);
    }
  }
}
