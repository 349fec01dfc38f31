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

/** A caller's connection, with a reader of answers that is stricter than the product's. */
final class SoakConnection implements Closeable {

  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int DEADLINE_MILLIS = 30_000;

  /** A slow reader takes about 8 MB a second. */
  private static final int SLOW_PART_BYTES = 32 * 1024;

  private static final long SLOW_PAUSE_MILLIS = 4;

  private final Socket socket = new Socket();
  private final InputStream in;
  private final SoakClock clock;
  private final boolean isSlow;
  private Map<String, String> fields = Map.of();

  /** An answer that breaks the protocol or belongs to another request. */
  private static final class WrongAnswerException extends IOException {
    private static final long serialVersionUID = 1;

    WrongAnswerException(String message) {
      super(message);
    }
  }

  SoakConnection(Endpoint target, boolean isSlow, int timeoutMillis, SoakClock clock)
      throws IOException {
    this.clock = clock;
    this.isSlow = isSlow;
    if (isSlow) {
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

  /** Sends a request and reads its answer; returns whether the connection can be used again. */
  boolean exchange(SoakCall call) {
    try {
      send(call);
    } catch (IOException e) {
      call.end(SoakCall.End.NOT_SENT, clock.millis(), e.toString());
      return false;
    }
    try {
      receive(call);
      call.end(SoakCall.End.WHOLE, clock.millis(), "");
      return !"close".equalsIgnoreCase(fields.get("connection"));
    } catch (WrongAnswerException e) {
      call.end(SoakCall.End.WRONG, clock.millis(), e.getMessage());
    } catch (SocketTimeoutException e) {
      call.end(SoakCall.End.GIVEN_UP, clock.millis(), "");
    } catch (IOException e) {
      call.end(SoakCall.End.BROKEN, clock.millis(), e.toString());
    }
    return false;
  }

  void send(SoakCall call) throws IOException {
    SoakWork work = call.work;
    String head =
        "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nCredential: key\r\nContent-Length: %d\r\n%s\r\n"
            .formatted(
                work.target(),
                call.id,
                DEADLINE_MILLIS,
                work.sentBytes(),
                work.isStream() ? "Token-Count: 10," + work.events() + "\r\n" : "");
    ByteArrayOutputStream request = new ByteArrayOutputStream();
    request.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
    request.writeBytes(SoakServer.bodyOf(call.id, work.sentBytes()));
    socket.getOutputStream().write(request.toByteArray());
    call.sentAt = clock.millis();
  }

  private void receive(SoakCall call) throws IOException {
    String statusLine = line();
    call.answerBeganAt = clock.millis();
    if (!statusLine.matches("HTTP/1\\.1 [2-5]\\d\\d .*")) {
      throw new WrongAnswerException("status line " + statusLine);
    }
    call.status = Integer.parseInt(statusLine.substring(9, 12));
    fields = new HashMap<>();
    for (String line = line(); !line.isEmpty(); line = line()) {
      int colon = line.indexOf(':');
      if (colon < 1) {
        throw new WrongAnswerException("header field " + line);
      }
      fields.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    String answered = fields.get("attempt-id");
    if (answered != null && !answered.equals(call.id)) {
      throw new WrongAnswerException("answer to " + answered);
    }
    byte[] body = body(call);
    if (call.status / 100 == 2) {
      check(call, body);
    }
  }

  private void check(SoakCall call, byte[] body) throws IOException {
    if (fields.get("response-signature") == null) {
      throw new WrongAnswerException("success without a signature");
    }
    byte[] expected =
        call.work.isStream()
            ? events(call).getBytes(StandardCharsets.UTF_8)
            : SoakServer.bodyOf(call.id, call.work.answerBytes());
    if (!Arrays.equals(body, expected)) {
      int at = Arrays.mismatch(body, expected);
      throw new WrongAnswerException(
          "complete with %d bytes, %d are due, other from byte %d"
              .formatted(body.length, expected.length, at));
    }
  }

  private static String events(SoakCall call) {
    StringBuilder text = new StringBuilder();
    for (int number = 1; number <= call.work.events(); number++) {
      text.append(SoakServer.event(call.id, number));
    }
    return text.toString();
  }

  private byte[] body(SoakCall call) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
        chunks(call, body);
      } else if (fields.get("content-length") != null) {
        part(call, body, Integer.parseInt(fields.get("content-length")));
      } else {
        throw new WrongAnswerException("a body without length on a kept connection");
      }
    } catch (EOFException | java.net.SocketException e) {
      checkBegin(call, body.toByteArray());
      throw e;
    }
    return body.toByteArray();
  }

  /** Checks that what came of a stream that broke off is its beginning. */
  private static void checkBegin(SoakCall call, byte[] came) throws IOException {
    byte[] expected = events(call).getBytes(StandardCharsets.UTF_8);
    if (call.work.isStream() && call.status == 200) {
      int at = Arrays.mismatch(came, expected);
      if (at >= 0 && at < came.length) {
        throw new WrongAnswerException("a broken stream with other events from byte " + at);
      }
    }
  }

  private void chunks(SoakCall call, ByteArrayOutputStream body) throws IOException {
    while (true) {
      String size = line();
      if (!size.matches("[0-9a-fA-F]+")) {
        throw new WrongAnswerException("chunk size " + size);
      }
      int bytes = Integer.parseInt(size, 16);
      part(call, body, bytes);
      if (!line().isEmpty()) {
        throw new WrongAnswerException("chunk without its end");
      }
      if (bytes == 0) {
        return;
      }
    }
  }

  private void part(SoakCall call, ByteArrayOutputStream body, int size) throws IOException {
    byte[] buffer = new byte[SLOW_PART_BYTES];
    for (int rest = size; rest > 0; ) {
      int count = in.read(buffer, 0, Math.min(rest, buffer.length));
      if (count < 0) {
        throw new EOFException("end in the body");
      }
      body.write(buffer, 0, count);
      rest -= count;
      call.bodyBytes += count;
      if (isSlow) {
        Fleet.sleep(SLOW_PAUSE_MILLIS);
      }
    }
  }

  private String line() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException(line.isEmpty() ? "end" : "end in a line");
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
