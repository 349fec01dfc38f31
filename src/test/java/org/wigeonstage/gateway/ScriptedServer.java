package org.wigeonstage.gateway;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.wigeonstage.http.Endpoint;

/** A backend server that answers each request with bytes chosen by a test. */
final class ScriptedServer implements Closeable {

  /** Chooses the bytes that are written for a request. */
  interface Script {

    /**
     * Returns the bytes to write, with {@link ScriptedServer#PAUSE} between separate writes.
     *
     * @param id the ID of the request
     * @param position the position of the request on its connection, from 0
     */
    String respond(String id, int position);
  }

  /**
   * Where it stands in a response, the bytes before it are sent some time before the others. It is
   * no octet, so that it can't be part of a response.
   */
  static final String PAUSE = "\uE000";

  private static final long READ_MILLIS = 30;
  private static final long PAUSE_MILLIS = 2;

  private final ServerSocket serverSocket =
      new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final List<String> receivedIds = new CopyOnWriteArrayList<>();
  private final Map<String, Integer> lastEventIds = new ConcurrentHashMap<>();
  private final Script script;
  private final Ending ending;

  /** What happens to a connection after a response, except that to a warm-up request. */
  enum Ending {
    KEPT,
    CLOSED,
    RESET
  }

  ScriptedServer(Script script) throws IOException {
    this(script, Ending.KEPT);
  }

  ScriptedServer(Script script, Ending ending) throws IOException {
    this.script = script;
    this.ending = ending;
    start(this::acceptAll);
  }

  /** Starts a server that serves warm-up requests, and answers the others by a script. */
  static ScriptedServer afterWarmUp(Script script, Ending ending) throws IOException {
    return new ScriptedServer(
        (id, position) -> isWarmUp(id) ? success(id) : script.respond(id, position), ending);
  }

  /** Returns whether a request was sent by {@link GatewayFixture#awaitStatus}. */
  static boolean isWarmUp(String id) {
    return id.startsWith("wait");
  }

  /** Returns a successful response. */
  static String success(String id) {
    return response("200 OK", "Attempt-Id: " + id + "\r\nResponse-Signature: s\r\n");
  }

  /** Returns a refusal that names the refused request. */
  static String refusal(String id) {
    return response("503 Service Unavailable", "Attempt-Id: " + id + "\r\nNot-Executed: 1\r\n");
  }

  /** Returns a refusal that does not name the refused request. */
  static String anonymousRefusal() {
    return response("503 Service Unavailable", "Not-Executed: 1\r\n");
  }

  static String response(String status, String fields) {
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 0\r\n\r\n";
  }

  ObjectNode registration() {
    return registration(new Endpoint("127.0.0.1", serverSocket.getLocalPort()));
  }

  /** Returns the entry of a server with four slots. */
  static ObjectNode registration(Endpoint address) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("service", "engines")
        .put("address", address.toString())
        .put("zone", "zone-a")
        .put("version", "v1")
        .put("slot_count", 4)
        .put("state", "ready")
        .put("cold_remaining_ms", 0)
        .put("sequence", 1);
  }

  /** Returns how many times a request was received. */
  long receivedCount(String id) {
    return receivedIds.stream().filter(id::equals).count();
  }

  /** Returns the event after which a request was last asked to resume. */
  Optional<Integer> lastEventId(String id) {
    return Optional.ofNullable(lastEventIds.get(id));
  }

  int connectionCount() {
    return sockets.size();
  }

  private static void start(Runnable action) {
    Thread thread = new Thread(action, "scripted-server");
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket socket = serverSocket.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket socket) {
    try {
      BufferedReader input =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      for (int position = 0; ; position++) {
        String id = readRequest(input);
        receivedIds.add(id);
        write(socket, script.respond(id, position));
        if (ending != Ending.KEPT && !isWarmUp(id)) {
          end(socket);
          return;
        }
      }
    } catch (IOException e) {
      // The gateway has closed the connection.
    }
  }

  /** Ends a connection some time after its bytes were sent, so that they are read before. */
  private void end(Socket socket) throws IOException {
    sleep(READ_MILLIS);
    if (ending == Ending.RESET) {
      socket.setSoLinger(true, 0);
    }
    socket.close();
  }

  /** Writes bytes to all connections, for which no request waits. */
  void writeUnasked(String bytes) throws IOException {
    for (Socket socket : sockets) {
      if (!socket.isClosed()) {
        write(socket, bytes);
      }
    }
  }

  private static void write(Socket socket, String bytes) throws IOException {
    String[] parts = bytes.split(PAUSE, -1);
    for (int i = 0; i < parts.length; i++) {
      if (i > 0) {
        sleep(PAUSE_MILLIS);
      }
      socket.getOutputStream().write(parts[i].getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads a request, and returns its ID. */
  private String readRequest(BufferedReader input) throws IOException {
    String id = "";
    Integer lastEventId = null;
    int length = 0;
    String line = input.readLine();
    while (line != null && !line.isEmpty()) {
      String[] nameAndValue = line.split(":", 2);
      if (nameAndValue[0].equalsIgnoreCase("Attempt-Id")) {
        id = nameAndValue[1].trim();
      } else if (nameAndValue[0].equalsIgnoreCase("Last-Event-Id")) {
        lastEventId = Integer.valueOf(nameAndValue[1].trim());
      } else if (nameAndValue[0].equalsIgnoreCase("Content-Length")) {
        length = Integer.parseInt(nameAndValue[1].trim());
      }
      line = input.readLine();
    }
    if (line == null || input.skip(length) < length) {
      throw new IOException("the connection has ended");
    }
    if (lastEventId != null) {
      lastEventIds.put(id, lastEventId);
    }
    return id;
  }

  @Override
  public void close() throws IOException {
    serverSocket.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
