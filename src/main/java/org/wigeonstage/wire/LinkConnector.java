package org.wigeonstage.wire;

import com.codahale.metrics.MetricRegistry;
import java.io.Closeable;
import java.io.IOException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.handover.Message;
import org.wigeonstage.http.Endpoint;

/** Opens links. */
public final class LinkConnector implements Closeable {

  private final TCPNIOTransport transport;

  private LinkConnector(TCPNIOTransport transport) {
    this.transport = transport;
  }

  /**
   * Starts a connector.
   *
   * @param helloSupplier creates the first message for each link
   * @param listener the listener for the links, called on the threads of the connector
   * @param metrics the registry of the counter of bad frames
   * @return the connector
   * @throws WigeonstageException if the connector can't be started
   */
  public static LinkConnector start(
      Supplier<Message.Hello> helloSupplier, LinkListener listener, MetricRegistry metrics) {
    return start(helloSupplier, listener, metrics, LinkOptions.HAND_OVER);
  }

  /**
   * Starts a connector.
   *
   * @param helloSupplier creates the first message for each link
   * @param listener the listener for the links, called on the threads of the connector
   * @param metrics the registry of the counter of bad frames
   * @param options how the links are read and written
   * @return the connector
   * @throws WigeonstageException if the connector can't be started
   */
  public static LinkConnector start(
      Supplier<Message.Hello> helloSupplier,
      LinkListener listener,
      MetricRegistry metrics,
      LinkOptions options) {
    TCPNIOTransport transport = options.createTransport("link-connector");
    transport.setProcessor(LinkFilterChains.create(helloSupplier, listener, metrics));
    try {
      transport.start();
    } catch (IOException e) {
      throw new WigeonstageException(ErrorCode.IO, "can't start the link connector", e);
    }
    return new LinkConnector(transport);
  }

  /**
   * Starts to connect, without blocking. The listener is called on success, and the callback on
   * failure.
   *
   * @param target the address to connect to
   * @param onFailure receives the cause of a failure
   */
  public void connect(Endpoint target, Consumer<Throwable> onFailure) {
    TCPNIOConnectorHandler.builder(transport)
        .build()
        .connect(
            target.socketAddress(),
            null,
            new EmptyCompletionHandler<Connection>() {
              @Override
              public void failed(Throwable cause) {
                onFailure.accept(cause);
              }

              @Override
              public void cancelled() {
                onFailure.accept(new IOException("connection attempt cancelled"));
              }
            });
  }

  @Override
  public void close() throws IOException {
    transport.shutdownNow();
  }
}
