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

/** Accepts links. */
public final class LinkServer implements Closeable {

  private final TCPNIOTransport transport;
  private final Endpoint endpoint;

  private LinkServer(TCPNIOTransport transport, Endpoint endpoint) {
    this.transport = transport;
    this.endpoint = endpoint;
  }

  /**
   * Starts a server.
   *
   * @param address the address to listen on
   * @param helloSupplier creates the first message for each link
   * @param listener the listener for the links, called on the threads of the server
   * @param metrics the registry of the counter of bad frames
   * @return the server
   * @throws WigeonstageException if the server can't listen on the address
   */
  public static LinkServer start(
      Endpoint address,
      Supplier<Message.Hello> helloSupplier,
      LinkListener listener,
      MetricRegistry metrics) {
    return start(address, helloSupplier, listener, metrics, LinkOptions.HAND_OVER);
  }

  /**
   * Starts a server.
   *
   * @param address the address to listen on
   * @param helloSupplier creates the first message for each link
   * @param listener the listener for the links, called on the threads of the server
   * @param metrics the registry of the counter of bad frames
   * @param options how the links are read and written
   * @return the server
   * @throws WigeonstageException if the server can't listen on the address
   */
  public static LinkServer start(
      Endpoint address,
      Supplier<Message.Hello> helloSupplier,
      LinkListener listener,
      MetricRegistry metrics,
      LinkOptions options) {
    TCPNIOTransport transport = options.createTransport("link-server");
    transport.setProcessor(LinkFilterChains.create(helloSupplier, listener, metrics));
    try {
      TCPNIOServerConnection serverConnection = transport.bind(address.socketAddress());
      transport.start();
      InetSocketAddress boundAddress = (InetSocketAddress) serverConnection.getLocalAddress();
      return new LinkServer(transport, new Endpoint(address.host(), boundAddress.getPort()));
    } catch (IOException e) {
      throw new WigeonstageException(ErrorCode.IO, "can't listen on " + address, e);
    }
  }

  /**
   * Returns the address that the server listens on.
   *
   * @return the address, with the actual port
   */
  public Endpoint endpoint() {
    return endpoint;
  }

  @Override
  public void close() throws IOException {
    transport.shutdownNow();
  }
}
