package org.wigeonstage.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongConsumer;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ICloseType;
import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.http.io.NIOOutputStream;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.HeaderFields;
import org.wigeonstage.request.HttpCall;

/**
 * One request at an {@link HttpServer}, and its answer. Safe for use by several threads.
 *
 * <p>Answers are written as fast as the peer takes them; what it has not taken yet is kept here,
 * and the consumer given to {@link #onConsumed} learns what it has taken.
 */
public final class ServerExchange {

  private final Request request;

  /** Kept here, because the request is recycled after its answer. */
  private final Connection<?> connection;

  private final Response response;
  private final byte[] body;
  private final @Nullable Arrival arrival;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final Deque<byte[]> pending = new ArrayDeque<>();
  private LongConsumer consumedListener = offset -> {};
  private volatile @Nullable CloseListener<Closeable, ICloseType> goneListener;
  private long consumed;
  private boolean waiting;
  private boolean ending;
  private boolean aborted;

  ServerExchange(Request request, Response response, byte[] body) {
    this.request = request;
    this.connection = request.getRequest().getConnection();
    this.response = response;
    this.body = body;
    this.arrival = SelectionRounds.arrivalOf(request.getRequest());
  }

  /**
   * Returns when the request came in.
   *
   * @return its arrival
   */
  public Arrival arrival() {
    if (arrival == null) {
      throw new IllegalStateException("the request was read without its arrival");
    }
    return arrival;
  }

  /**
   * Returns the HTTP method.
   *
   * @return the method in capitals
   */
  public String method() {
    return request.getMethod().getMethodString();
  }

  /**
   * Returns the path without its query.
   *
   * @return the path
   */
  public String path() {
    return request.getRequestURI();
  }

  /**
   * Returns the path with its query.
   *
   * @return the path, and the query behind a question mark
   */
  public String pathAndQuery() {
    String query = request.getQueryString();
    return query == null ? path() : path() + "?" + query;
  }

  /**
   * Returns a parameter of the query or of a posted form.
   *
   * @param name the parameter's name
   * @return its value, or null
   */
  public @Nullable String parameter(String name) {
    return request.getParameter(name);
  }

  /**
   * Returns a header field.
   *
   * @param name the field's name
   * @return its value, or null
   */
  public @Nullable String header(String name) {
    return request.getHeader(name);
  }

  /**
   * Returns all header fields as they were sent.
   *
   * @return the fields, in order
   */
  public HeaderFields fields() {
    MimeHeaders headers = request.getRequest().getHeaders();
    List<HeaderFields.Field> fields = new ArrayList<>();
    for (int i = 0; i < headers.size(); i++) {
      fields.add(
          new HeaderFields.Field(headers.getName(i).toString(), headers.getValue(i).toString()));
    }
    return new HeaderFields(fields);
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
    return new HttpCall(method(), path, request.getContentType(), body);
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
    synchronized (this) {
      response.setContentLength(data.length);
    }
    begin(status, contentType, headers);
    write(data);
    end();
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
  public synchronized void begin(
      int status, @Nullable String contentType, Map<String, String> headers) {
    response.setStatus(status);
    response.setHeader("Date", DateField.now());
    if (contentType != null) {
      response.setHeader("Content-Type", contentType);
    }
    headers.forEach(response::setHeader);
  }

  /**
   * Begins an answer with exactly the given fields.
   *
   * @param status the HTTP status
   * @param fields the header fields, without those that describe the body's length
   * @param contentLength the length of the body in bytes, or -1 where it is not known
   */
  public synchronized void begin(int status, HeaderFields fields, long contentLength) {
    response.setStatus(status);
    response.setHeader("Date", DateField.now());
    fields.fields().forEach(field -> response.addHeader(field.name(), field.value()));
    if (contentLength >= 0) {
      response.setContentLengthLong(contentLength);
    }
  }

  /**
   * Answers the whole request with exactly the given fields.
   *
   * @param status the HTTP status
   * @param fields the header fields, without those that describe the body's length
   * @param data the body
   */
  public void respond(int status, HeaderFields fields, byte[] data) {
    begin(status, fields, data.length);
    write(data);
    end();
  }

  /**
   * Returns how many bytes of the answer the peer has not taken yet.
   *
   * @return the number of bytes kept here
   */
  public synchronized long backlog() {
    return pending.stream().mapToLong(data -> data.length).sum();
  }

  /**
   * Adds to the answer's body.
   *
   * @param data the bytes, not to be modified afterwards
   */
  public void write(byte[] data) {
    synchronized (this) {
      if (data.length > 0) {
        pending.addLast(data);
      }
    }
    flush();
  }

  /** Ends the answer once all of it is written. */
  public void end() {
    synchronized (this) {
      ending = true;
    }
    flush();
  }

  /**
   * Closes the connection, so that the peer sees the answer broken off. The response is ended only
   * after that, because its last chunk would make the answer look whole.
   */
  public void abort() {
    synchronized (this) {
      aborted = true;
      pending.clear();
    }
    CloseListener<Closeable, ICloseType> listener = (closeable, type) -> finish();
    connection.addCloseListener(listener);
    connection.terminateSilently();
  }

  /**
   * Sets what learns how many bytes of the body the peer has taken.
   *
   * @param listener takes the number of bytes so far
   */
  public synchronized void onConsumed(LongConsumer listener) {
    consumedListener = listener;
  }

  /**
   * Sets what is run where the peer closes the connection before the answer's end.
   *
   * @param action the action
   */
  public void onGone(Runnable action) {
    CloseListener<Closeable, ICloseType> listener =
        (closeable, type) -> {
          if (!closed.get()) {
            action.run();
          }
        };
    goneListener = listener;
    connection.addCloseListener(listener);
  }

  /**
   * Runs an action once all is handled that has arrived by now on this exchange's connection.
   *
   * @param action what to run, on a thread that handles requests
   */
  public void whenReadsCaughtUp(Runnable action) {
    ReadBarrier.pass(
        connection, () -> connection.getTransport().getWorkerThreadPool().execute(action));
  }

  private void flush() {
    long progress;
    boolean done;
    synchronized (this) {
      long before = consumed;
      writeWhilePossible();
      progress = consumed > before ? consumed : -1;
      done = ending && pending.isEmpty() && !aborted;
    }
    if (progress >= 0) {
      consumedListener.accept(progress);
    }
    if (done) {
      finish();
    }
  }

  private void writeWhilePossible() {
    if (waiting || aborted || closed.get()) {
      return;
    }
    NIOOutputStream out = response.getNIOOutputStream();
    try {
      boolean wrote = false;
      while (!pending.isEmpty() && out.canWrite()) {
        byte[] data = pending.removeFirst();
        out.write(data);
        consumed += data.length;
        wrote = true;
      }
      if (wrote) {
        out.flush();
      }
      if (!pending.isEmpty()) {
        waiting = true;
        out.notifyCanWrite(new WhenWritable());
      }
    } catch (IOException e) {
      pending.clear();
      ending = true;
    }
  }

  private void finish() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    CloseListener<Closeable, ICloseType> listener = goneListener;
    if (listener != null) {
      connection.removeCloseListener(listener);
    }
    if (response.isSuspended()) {
      response.resume();
    } else {
      response.finish();
    }
  }

  /** Goes on writing when the connection takes more. */
  private final class WhenWritable implements WriteHandler {

    @Override
    public void onWritePossible() {
      synchronized (ServerExchange.this) {
        waiting = false;
      }
      flush();
    }

    @Override
    public void onError(Throwable error) {
      synchronized (ServerExchange.this) {
        waiting = false;
        pending.clear();
        ending = true;
      }
      flush();
    }
  }
}
