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
 * Passes connections on to a target, until it is told to lose track of them: then open connections
 * swallow all bytes both ways, and new ones work. It can also reset connections and delay bytes.
 */
final class Relay implements Closeable {

  private static final int BUFFER_BYTES = 16 * 1024;

  /** A pair of sockets. */
  private static final class Pair {
    private final Socket near;
    private final Socket far;
    private volatile boolean silent;

    Pair(Socket near, Socket far) {
      this.near = near;
      this.far = far;
    }
  }

  private final ServerSocket server;
  private final Endpoint target;
  private final List<Pair> pairs = new CopyOnWriteArrayList<>();
  private volatile long delayMillis;

  Relay(Endpoint target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  Endpoint endpoint() {
    return new Endpoint("127.0.0.1", server.getLocalPort());
  }

  /** Makes all open connections swallow what they are given. */
  int loseTrack() {
    pairs.forEach(pair -> pair.silent = true);
    return pairs.size();
  }

  /** Resets all open connections, on both sides. */
  void resetAll() {
    for (Pair pair : pairs) {
      reset(pair.near);
      reset(pair.far);
    }
    pairs.clear();
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // Closed already.
    }
    closeQuietly(socket);
  }

  /** Passes each part on so much later. */
  void delay(long millis) {
    delayMillis = millis;
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "relay");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket near = server.accept();
        Pair pair = new Pair(near, new Socket(target.host(), target.port()));
        pairs.add(pair);
        start(() -> copy(pair, pair.near, pair.far));
        start(() -> copy(pair, pair.far, pair.near));
      } catch (IOException e) {
        // The server is closed, or the target does not listen; the peer tries again.
      }
    }
  }

  private void copy(Pair pair, Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        Fleet.sleep(delayMillis);
        if (!pair.silent) {
          out.write(buffer, 0, count);
        }
      }
      if (!pair.silent) {
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
      // Closed already.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Pair pair : pairs) {
      closeQuietly(pair.near);
      closeQuietly(pair.far);
    }
  }
}
