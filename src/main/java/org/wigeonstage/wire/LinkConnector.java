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
import org.wigeonstage.http.Transports;

/** Opens connections to agents. */
public final class LinkConnector implements Closeable {

  private static final int THREADS = 2;

  private final TCPNIOTransport transport;

  private LinkConnector(TCPNIOTransport transport) {
    this.transport = transport;
  }

  /**
   * Starts a connector.
   *
   * @param greeting what to say first on each connection
   * @param listener follows the connections; called on the connector's threads
   * @param metrics where bad frames are counted
   * @return the connector
   */
  public static LinkConnector start(
      Supplier<Message.Hello> greeting, LinkListener listener, MetricRegistry metrics) {
    TCPNIOTransport transport = Transports.create("link-connector", THREADS);
    transport.setProcessor(LinkFilterChains.chain(greeting, listener, metrics));
    try {
      transport.start();
    } catch (IOException e) {
      throw new WigeonstageException(ErrorCode.IO, "can't start the connector", e);
    }
    return new LinkConnector(transport);
  }

  /**
   * Begins to connect. The listener learns of success; the callback of failure.
   *
   * @param target the agent's address
   * @param onFailure takes the cause where no connection was made
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
