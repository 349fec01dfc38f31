package org.wigeonstage.system;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.wigeonstage.http.Endpoint;

/**
 * A TCP proxy that can discard the traffic of open connections, reset connections and delay data.
 */
final class FaultInjectingProxy implements Closeable {

  private static final int BUFFER_BYTES = 16 * 1024;

  private static final class ProxiedConnection {
    private final Socket clientSocket;
    private final Socket targetSocket;
    private volatile boolean isDiscarding;

    ProxiedConnection(Socket clientSocket, Socket targetSocket) {
      this.clientSocket = clientSocket;
      this.targetSocket = targetSocket;
    }
  }

  private final ServerSocket listener;
  private final Endpoint target;
  private final List<ProxiedConnection> connections = new CopyOnWriteArrayList<>();
  private volatile long delayMillis;

  FaultInjectingProxy(Endpoint target) throws IOException {
    this.target = target;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startThread(this::acceptConnections);
  }

  Endpoint endpoint() {
    return new Endpoint("127.0.0.1", listener.getLocalPort());
  }

  /**
   * Discards all data in both directions of the connections that are open now, and does not forward
   * their end. Later connections work normally.
   *
   * @return the number of open connections
   */
  int discardTraffic() {
    connections.forEach(connection -> connection.isDiscarding = true);
    return connections.size();
  }

  /** Resets all open connections on both sides. */
  void resetAll() {
    for (ProxiedConnection connection : connections) {
      reset(connection.clientSocket);
      reset(connection.targetSocket);
    }
    connections.clear();
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // The socket is already closed.
    }
    closeQuietly(socket);
  }

  /** Sets the delay, in milliseconds, before data that was read is forwarded. */
  void setDelay(long millis) {
    delayMillis = millis;
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "fault-injecting-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptConnections() {
    while (!listener.isClosed()) {
      try {
        Socket clientSocket = listener.accept();
        ProxiedConnection connection =
            new ProxiedConnection(clientSocket, new Socket(target.host(), target.port()));
        connections.add(connection);
        startThread(() -> forward(connection, connection.clientSocket, connection.targetSocket));
        startThread(() -> forward(connection, connection.targetSocket, connection.clientSocket));
      } catch (IOException e) {
        // The proxy is closed, or the target is not listening; the client retries.
      }
    }
  }

  private void forward(ProxiedConnection connection, Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        ProcessFleet.sleep(delayMillis);
        if (!connection.isDiscarding) {
          out.write(buffer, 0, count);
        }
      }
      if (!connection.isDiscarding) {
        to.close();
      }
    } catch (IOException e) {
      closeQuietly(to);
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is already closed.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (ProxiedConnection connection : connections) {
      closeQuietly(connection.clientSocket);
      closeQuietly(connection.targetSocket);
    }
  }
}
