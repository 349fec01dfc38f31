import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** A runner (backend server) that writes its responses byte by byte as a case wants them. */
final class Runner implements AutoCloseable {

  /** Runs a request and writes the response. */
  interface Behaviour {

    /** Returns whether the connection is kept. */
    boolean handle(Request request, Connection connection) throws Exception;
  }

  /** A request as it arrived; names of fields are in lower case. */
  record Request(String method, String target, Map<String, String> fields, byte[] body) {

    String attemptId() {
      return fields.getOrDefault("attempt-id", "");
    }
  }

  private final String id;
  private final Consumer<String> log;
  private final Behaviour behaviour;
  private final ServerSocket listener;
  private final long startedAtMillis = System.currentTimeMillis();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Map<String, Integer> runsByAttempt = new ConcurrentHashMap<>();

  Runner(String id, Consumer<String> log, Behaviour behaviour) throws IOException {
    this.id = id;
    this.log = log;
    this.behaviour = behaviour;
    this.listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  String id() {
    return id;
  }

  int port() {
    return listener.getLocalPort();
  }

  long startedAtMillis() {
    return startedAtMillis;
  }

  /** Returns how often a request has run, by its attempt ID. */
  int runs(String attemptId) {
    return runsByAttempt.getOrDefault(attemptId, 0);
  }

  int runCount() {
    return runsByAttempt.values().stream().mapToInt(Integer::intValue).sum();
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      Connection connection = new Connection(this, socket);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        Request request = Http.readRequest(in);
        if (request == null) {
          return;
        }
        String expected = request.fields().get("target-instance");
        if (expected != null && !expected.equals(id)) {
          connection.write("HTTP/1.1 421 Misdirected\r\nAttempt-Id: " + request.attemptId()
              + "\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        if (!behaviour.handle(request, connection)) {
          return;
        }
      }
    } catch (Exception e) {
      // The peer has closed the connection, or this runner has crashed.
    } finally {
      sockets.remove(socket);
    }
  }

  /** Records that the runner has begun to work on a request. */
  void recordRun(Request request) {
    runsByAttempt.merge(request.attemptId(), 1, Integer::sum);
    log.accept("runner " + id + " runs " + request.attemptId());
  }

  /** Crashes: resets all connections and refuses new ones. */
  void crash() throws IOException {
    log.accept("runner " + id + " crashes");
    close();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // already closed
      }
    }
  }

  /** One connection of a caller to the runner. */
  static final class Connection {

    private final Runner runner;
    private final Socket socket;
    private final OutputStream out;

    Connection(Runner runner, Socket socket) throws IOException {
      this.runner = runner;
      this.socket = socket;
      this.out = socket.getOutputStream();
    }

    Runner runner() {
      return runner;
    }

    /** Closes the connection in order, or resets it. */
    void close(boolean isReset) throws IOException {
      if (isReset) {
        socket.setSoLinger(true, 0);
      }
      socket.close();
    }

    void write(String text) throws IOException {
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }
  }

  /** Reads HTTP messages. */
  static final class Http {

    private Http() {}

    static Request readRequest(InputStream in) throws IOException {
      List<String> head = readHead(in);
      if (head.isEmpty()) {
        return null;
      }
      String[] line = head.get(0).split(" ");
      Map<String, String> fields = fields(head);
      int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
      return new Request(line[0], line[1], fields, in.readNBytes(length));
    }

    static Map<String, String> fields(List<String> head) {
      Map<String, String> fields = new LinkedHashMap<>();
      for (String line : head.subList(1, head.size())) {
        int colon = line.indexOf(':');
        if (colon > 0) {
          fields.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
      }
      return fields;
    }

    /** Reads the lines of a head; returns none at the end of the connection. */
    static List<String> readHead(InputStream in) throws IOException {
      List<String> lines = new ArrayList<>();
      while (true) {
        String line = readLine(in);
        if (line == null) {
          return List.of();
        }
        if (line.isEmpty()) {
          if (lines.isEmpty()) {
            continue;
          }
          return lines;
        }
        lines.add(line);
      }
    }

    static String readLine(InputStream in) throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      for (int next = in.read(); next != '\n'; next = in.read()) {
        if (next < 0) {
          return null;
        }
        line.write(next);
      }
      String text = line.toString(StandardCharsets.ISO_8859_1);
      return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
  }
}
