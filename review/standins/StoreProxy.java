import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.wigeonstage.http.Endpoint;

/** Stands between one gateway and the store, and resets all connections while that is asked for. */
final class StoreProxy {

  private final Endpoint store;
  private final ServerSocket listener;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean isResetting;
  private volatile long configurationAnsweredAt;

  StoreProxy(Endpoint store) throws IOException {
    this.store = store;
    this.listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    Runner.start(this::accept);
  }

  Endpoint endpoint() {
    return new Endpoint("127.0.0.1", listener.getLocalPort());
  }

  void setResetting(boolean resetting) {
    isResetting = resetting;
    if (resetting) {
      sockets.forEach(StoreProxy::reset);
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket gateway = listener.accept();
        if (isResetting) {
          reset(gateway);
          continue;
        }
        Socket target = new Socket(store.host(), store.port());
        sockets.add(gateway);
        sockets.add(target);
        AtomicBoolean readsConfiguration = new AtomicBoolean();
        Runner.start(() -> copy(gateway, target, readsConfiguration, true));
        Runner.start(() -> copy(target, gateway, readsConfiguration, false));
      }
    } catch (IOException e) {
      // The listener is closed at the end of the case.
    }
  }

  /** Waits until the store has just answered a call for the configuration. */
  void awaitConfigurationAnswer() throws InterruptedException {
    long before = configurationAnsweredAt;
    for (int waits = 0; configurationAnsweredAt == before && waits < 5000; waits++) {
      Thread.sleep(2);
    }
  }

  private void copy(Socket from, Socket to, AtomicBoolean readsConfiguration, boolean isRequest) {
    try (from;
        to) {
      InputStream in = from.getInputStream();
      byte[] buffer = new byte[8192];
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        to.getOutputStream().write(buffer, 0, read);
        if (isRequest) {
          String text = new String(buffer, 0, read, StandardCharsets.ISO_8859_1);
          readsConfiguration.compareAndSet(false, text.contains("/objects/config"));
        } else if (readsConfiguration.get()) {
          configurationAnsweredAt = System.nanoTime();
        }
      }
    } catch (IOException e) {
      // One side has closed or was reset; both are closed.
    } finally {
      sockets.remove(from);
      sockets.remove(to);
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // already closed
    }
  }
}
