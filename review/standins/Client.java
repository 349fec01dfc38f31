import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** A client's connection to a gateway. */
final class Client implements AutoCloseable {

  /** A complete answer; names of fields are in lower case. */
  record Answer(int status, Map<String, String> fields, String body) {}

  private final Socket socket = new Socket();
  private final InputStream in;

  Client(int port, int timeoutMillis) throws IOException {
    socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMillis);
    socket.setSoTimeout(timeoutMillis);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  void send(String method, String path, String host, List<String> fields, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
    fields.forEach(field -> head.append(field).append("\r\n"));
    if (body.length > 0 || method.equals("POST")) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    head.append("\r\n");
    socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().write(body);
    socket.getOutputStream().flush();
  }

  /**
   * Reads one complete answer.
   *
   * @throws EOFException if the connection ends before that
   */
  Answer receive() throws IOException {
    List<String> head = Runner.Http.readHead(in);
    if (head.isEmpty()) {
      throw new EOFException("connection closed without an answer");
    }
    Map<String, String> fields = Runner.Http.fields(head);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if ("chunked".equals(fields.get("transfer-encoding"))) {
      while (true) {
        String line = Runner.Http.readLine(in);
        if (line == null) {
          throw new EOFException("answer cut off");
        }
        int size = Integer.parseInt(line.trim(), 16);
        byte[] chunk = in.readNBytes(size);
        if (chunk.length < size || Runner.Http.readLine(in) == null) {
          throw new EOFException("answer cut off");
        }
        if (size == 0) {
          break;
        }
        body.writeBytes(chunk);
      }
    } else {
      int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
      byte[] data = in.readNBytes(length);
      if (data.length < length) {
        throw new EOFException("answer cut off");
      }
      body.writeBytes(data);
    }
    int status = Integer.parseInt(head.get(0).split(" ")[1]);
    return new Answer(status, fields, body.toString(StandardCharsets.ISO_8859_1));
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
