package org.wigeonstage.wire;

import com.codahale.metrics.MetricRegistry;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.handover.Message;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.Transports;

/** Accepts connections from entries. */
public final class LinkServer implements Closeable {

  private static final int THREADS = 2;

  private final TCPNIOTransport transport;
  private final Endpoint endpoint;

  private LinkServer(TCPNIOTransport transport, Endpoint endpoint) {
    this.transport = transport;
    this.endpoint = endpoint;
  }

  /**
   * Starts a server.
   *
   * @param listen where to listen
   * @param greeting what to say first on each connection
   * @param listener follows the connections; called on the server's threads
   * @param metrics where bad frames are counted
   * @return the server
   */
  public static LinkServer start(
      Endpoint listen,
      Supplier<Message.Hello> greeting,
      LinkListener listener,
      MetricRegistry metrics) {
    TCPNIOTransport transport = Transports.create("link-server", THREADS);
    transport.setProcessor(LinkFilterChains.chain(greeting, listener, metrics));
    try {
      TCPNIOServerConnection connection = transport.bind(listen.socketAddress());
      transport.start();
      InetSocketAddress bound = (InetSocketAddress) connection.getLocalAddress();
      return new LinkServer(transport, new Endpoint(listen.host(), bound.getPort()));
    } catch (IOException e) {
      throw new WigeonstageException(ErrorCode.IO, "can't listen on " + listen, e);
    }
  }

  /**
   * Returns the address that the server listens on.
   *
   * @return the address, with the port that the system chose
   */
  public Endpoint endpoint() {
    return endpoint;
  }

  @Override
  public void close() throws IOException {
    transport.shutdownNow();
  }
}
