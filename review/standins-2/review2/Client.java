package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Sends single requests, each on a new connection. */
final class Client {

  private static final AtomicLong NEXT = new AtomicLong(System.nanoTime());

  /** What came of a request, and after which time: a status, or 0 for none, and why. */
  record Answer(String attempt, long sentAt, long millis, int status, String text) {}

  private final Record record;

  Client(Record record) {
    this.record = record;
  }

  private long took(long sentAt) {
    return record.millis() - sentAt;
  }

  /** Sends a request; waits for the answer until its deadline. */
  Answer send(String address, String head, int deadlineMillis) {
    String attempt = Long.toHexString(NEXT.incrementAndGet());
    String host = address.substring(0, address.indexOf(':'));
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    long sentAt = record.millis();
    Answer answer;
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(host, port), 1000);
      socket.setSoTimeout(deadlineMillis);
      String text =
          head + "Attempt-Id: " + attempt + "\r\nDeadline-Ms: " + deadlineMillis
              + "\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = socket.getInputStream();
      String all = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
      int status = all.startsWith("HTTP/1.1 ") ? Integer.parseInt(all.substring(9, 12)) : 0;
      answer = new Answer(attempt, sentAt, took(sentAt), status, status == 0 ? "closed without an answer" : "");
    } catch (SocketTimeoutException e) {
      answer = new Answer(attempt, sentAt, took(sentAt), 0, "no answer in time");
    } catch (IOException e) {
      answer = new Answer(attempt, sentAt, took(sentAt), 0, String.valueOf(e.getMessage()));
    }
    record.write(
        "client sent " + attempt + " at " + sentAt + " to " + address + ": "
            + (answer.status() == 0 ? answer.text() : "" + answer.status()) + " after " + answer.millis());
    return answer;
  }
}
