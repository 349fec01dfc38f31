package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The way of one machine to the store, on which the store can turn that machine away. */
final class StorePath {

  private final ServerSocket listener = new ServerSocket();
  private final String store;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean isTurnedAway;

  StorePath(String store) throws IOException {
    this.store = store;
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 100);
    HttpEndpoint.daemon(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            HttpEndpoint.daemon(() -> pass(socket));
          }
        });
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Resets the calls of the machine from now on, or no longer. */
  void turnAway(boolean isNowTurnedAway) {
    isTurnedAway = isNowTurnedAway;
    if (isNowTurnedAway) {
      sockets.forEach(StorePath::reset);
    }
  }

  private void pass(Socket caller) throws IOException {
    if (isTurnedAway) {
      reset(caller);
      return;
    }
    Socket target = new Socket("127.0.0.1", Integer.parseInt(store.substring(store.indexOf(':') + 1)));
    sockets.add(caller);
    sockets.add(target);
    HttpEndpoint.daemon(() -> copy(caller, target));
    copy(target, caller);
  }

  private void copy(Socket from, Socket to) throws IOException {
    byte[] buffer = new byte[65536];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        out.write(buffer, 0, count);
      }
      to.shutdownOutput();
    } catch (IOException e) {
      reset(from);
      reset(to);
    }
    sockets.remove(from);
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It was closed before.
    }
  }
}
