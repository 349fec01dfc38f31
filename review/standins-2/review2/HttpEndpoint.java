package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server with one thread per connection. */
abstract class HttpEndpoint {

  /** A request that was read completely. */
  record Request(String method, String target, Map<String, String> fields, byte[] body) {
    String path() {
      int query = target.indexOf('?');
      return query < 0 ? target : target.substring(0, query);
    }

    String parameter(String name, String absent) {
      int query = target.indexOf('?');
      if (query >= 0) {
        for (String parameter : target.substring(query + 1).split("&")) {
          if (parameter.startsWith(name + "=")) {
            return parameter.substring(name.length() + 1);
          }
        }
      }
      return absent;
    }

    String field(String name) {
      return fields.getOrDefault(name, "");
    }
  }

  private final ServerSocket listener;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  HttpEndpoint(String host) throws IOException {
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 1024);
  }

  final String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  final void start() {
    daemon(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            sockets.add(socket);
            daemon(() -> serve(socket));
          }
        });
  }

  private void serve(Socket socket) throws IOException {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      boolean isOpen = true;
      while (isOpen) {
        Request request = read(in);
        isOpen = request != null && handle(request, socket);
      }
    } finally {
      sockets.remove(socket);
    }
  }

  /** Handles a request; returns whether the connection stays open. */
  abstract boolean handle(Request request, Socket socket) throws IOException;

  /** Resets all open connections. */
  final void resetConnections() {
    for (Socket socket : sockets) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // It was closed before.
      }
    }
  }

  static Request read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null || first.isEmpty()) {
      return null;
    }
    String[] parts = first.split(" ");
    Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String text = line(in); text != null && !text.isEmpty(); text = line(in)) {
      int colon = text.indexOf(':');
      fields.put(text.substring(0, colon), text.substring(colon + 1).trim());
    }
    byte[] body = in.readNBytes(Integer.parseInt(fields.getOrDefault("Content-Length", "0")));
    return new Request(parts[0], parts[1], fields, body);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    int octet = in.read();
    if (octet < 0) {
      return null;
    }
    while (octet >= 0 && octet != '\n') {
      if (octet != '\r') {
        text.write(octet);
      }
      octet = in.read();
    }
    return text.toString(StandardCharsets.ISO_8859_1);
  }

  static void respond(Socket socket, int status, String fields, String body) throws IOException {
    byte[] octets = body.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 " + status + " x\r\n" + fields + "Content-Length: " + octets.length + "\r\n\r\n";
    OutputStream out = socket.getOutputStream();
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.write(head.getBytes(StandardCharsets.ISO_8859_1));
    all.write(octets);
    out.write(all.toByteArray());
    out.flush();
  }

  /** An action that may fail with an I/O error, which ends it. */
  interface Action {
    void run() throws IOException, InterruptedException;
  }

  static void daemon(Action action) {
    Thread thread =
        new Thread(
            () -> {
              try {
                action.run();
              } catch (IOException | InterruptedException e) {
                // The connection or the process has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }
}
