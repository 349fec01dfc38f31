package org.wigeonstage.system;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.wigeonstage.http.Endpoint;

/**
 * A connection of a caller. It parses responses more strictly than the production code and checks
 * their content.
 */
final class SoakConnection implements Closeable {

  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int DEADLINE_MILLIS = 30_000;

  /** Read size that, with the delay below, limits slow readers to about 8 MB per second. */
  private static final int READ_BYTES = 32 * 1024;

  private static final long SLOW_READ_DELAY_MILLIS = 4;

  private final Socket socket = new Socket();
  private final InputStream in;
  private final SoakClock clock;
  private final boolean readsSlowly;
  private Map<String, String> headers = Map.of();

  /** Thrown for a response that violates the protocol or does not match the request. */
  private static final class InvalidResponseException extends IOException {
    private static final long serialVersionUID = 1;

    InvalidResponseException(String message) {
      super(message);
    }
  }

  SoakConnection(Endpoint target, boolean readsSlowly, int timeoutMillis, SoakClock clock)
      throws IOException {
    this.clock = clock;
    this.readsSlowly = readsSlowly;
    if (readsSlowly) {
      socket.setReceiveBufferSize(BUFFER_BYTES);
    }
    socket.setSoTimeout(timeoutMillis);
    socket.setTcpNoDelay(true);
    try {
      socket.connect(new InetSocketAddress(target.host(), target.port()), timeoutMillis);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
    this.in = new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES);
  }

  /**
   * Sends a request and reads the response. The result is recorded in the call.
   *
   * @return whether the connection can be reused
   */
  boolean exchange(SoakCall call) {
    try {
      send(call);
    } catch (IOException e) {
      call.finish(SoakCall.Result.NOT_SENT, clock.elapsedMillis(), e.toString());
      return false;
    }
    try {
      readResponse(call);
      call.finish(SoakCall.Result.COMPLETE, clock.elapsedMillis(), "");
      return !"close".equalsIgnoreCase(headers.get("connection"));
    } catch (InvalidResponseException e) {
      call.finish(SoakCall.Result.INVALID, clock.elapsedMillis(), e.getMessage());
    } catch (SocketTimeoutException e) {
      call.finish(SoakCall.Result.TIMED_OUT, clock.elapsedMillis(), "");
    } catch (IOException e) {
      call.finish(SoakCall.Result.CONNECTION_LOST, clock.elapsedMillis(), e.toString());
    }
    return false;
  }

  void send(SoakCall call) throws IOException {
    SoakRequest request = call.request;
    String head =
        "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nCredential: key\r\nContent-Length: %d\r\n%s\r\n"
            .formatted(
                request.target(),
                call.id,
                DEADLINE_MILLIS,
                request.requestBytes(),
                request.isStream() ? "Token-Count: 10," + request.events() + "\r\n" : "");
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    message.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
    message.writeBytes(SoakServer.createBody(call.id, request.requestBytes()));
    socket.getOutputStream().write(message.toByteArray());
    call.sentAtMillis = clock.elapsedMillis();
  }

  private void readResponse(SoakCall call) throws IOException {
    String statusLine = readLine();
    call.responseStartedAtMillis = clock.elapsedMillis();
    if (!statusLine.matches("HTTP/1\\.1 [2-5]\\d\\d .*")) {
      throw new InvalidResponseException("invalid status line: " + statusLine);
    }
    call.status = Integer.parseInt(statusLine.substring(9, 12));
    headers = new HashMap<>();
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      int colon = line.indexOf(':');
      if (colon < 1) {
        throw new InvalidResponseException("invalid header field: " + line);
      }
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    String attemptId = headers.get("attempt-id");
    if (attemptId != null && !attemptId.equals(call.id)) {
      throw new InvalidResponseException("response to request " + attemptId);
    }
    byte[] body = readBody(call);
    if (call.status / 100 == 2) {
      checkBody(call, body);
    }
  }

  private void checkBody(SoakCall call, byte[] body) throws IOException {
    if (headers.get("response-signature") == null) {
      throw new InvalidResponseException("successful response without a signature");
    }
    byte[] expected =
        call.request.isStream()
            ? expectedEvents(call).getBytes(StandardCharsets.UTF_8)
            : SoakServer.createBody(call.id, call.request.responseBytes());
    if (!Arrays.equals(body, expected)) {
      int mismatch = Arrays.mismatch(body, expected);
      throw new InvalidResponseException(
          "body of %d bytes, expected %d; first difference at byte %d"
              .formatted(body.length, expected.length, mismatch));
    }
  }

  private static String expectedEvents(SoakCall call) {
    StringBuilder text = new StringBuilder();
    for (int number = 1; number <= call.request.events(); number++) {
      text.append(SoakServer.event(call.id, number));
    }
    return text.toString();
  }

  private byte[] readBody(SoakCall call) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
        readChunks(call, body);
      } else if (headers.get("content-length") != null) {
        readBytes(call, body, Integer.parseInt(headers.get("content-length")));
      } else {
        throw new InvalidResponseException("response without Content-Length or chunked encoding");
      }
    } catch (EOFException | java.net.SocketException e) {
      checkPartialStream(call, body.toByteArray());
      throw e;
    }
    return body.toByteArray();
  }

  /** Checks that the received part of a truncated stream is a prefix of the expected stream. */
  private static void checkPartialStream(SoakCall call, byte[] received) throws IOException {
    byte[] expected = expectedEvents(call).getBytes(StandardCharsets.UTF_8);
    if (call.request.isStream() && call.status == 200) {
      int mismatch = Arrays.mismatch(received, expected);
      if (mismatch >= 0 && mismatch < received.length) {
        throw new InvalidResponseException(
            "truncated stream with unexpected content from byte " + mismatch);
      }
    }
  }

  private void readChunks(SoakCall call, ByteArrayOutputStream body) throws IOException {
    while (true) {
      String sizeLine = readLine();
      if (!sizeLine.matches("[0-9a-fA-F]+")) {
        throw new InvalidResponseException("invalid chunk size " + sizeLine);
      }
      int chunkBytes = Integer.parseInt(sizeLine, 16);
      readBytes(call, body, chunkBytes);
      if (!readLine().isEmpty()) {
        throw new InvalidResponseException("chunk without terminating line break");
      }
      if (chunkBytes == 0) {
        return;
      }
    }
  }

  private void readBytes(SoakCall call, ByteArrayOutputStream body, int size) throws IOException {
    byte[] buffer = new byte[READ_BYTES];
    for (int remaining = size; remaining > 0; ) {
      int count = in.read(buffer, 0, Math.min(remaining, buffer.length));
      if (count < 0) {
        throw new EOFException("connection closed within the body");
      }
      body.write(buffer, 0, count);
      remaining -= count;
      call.bodyBytes += count;
      if (readsSlowly) {
        ProcessFleet.sleep(SLOW_READ_DELAY_MILLIS);
      }
    }
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException(
            line.isEmpty() ? "connection closed" : "connection closed within a line");
      }
      line.append((char) next);
    }
    if (line.length() > 0 && line.charAt(line.length() - 1) == '\r') {
      line.setLength(line.length() - 1);
    }
    return line.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
