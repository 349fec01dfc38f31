package org.wigeonstage.http;

import java.io.Closeable;
import java.io.IOException;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;

/** Connects to HTTP servers, for the clients that decide when. */
final class ClientTransport implements Closeable {

  private final TCPNIOTransport transport;
  private final FilterChain chain;
  private volatile @Nullable Connection<?> lastConnected;

  private ClientTransport(TCPNIOTransport transport) {
    this.transport = transport;
    this.chain =
        FilterChainBuilder.stateless()
            .add(new TransportFilter())
            .add(new HttpClientFilter())
            .add(new ResponseFilter())
            .build();
  }

  /** Starts a transport with a number of threads. */
  static ClientTransport start(String name, int threads) {
    TCPNIOTransport transport = Transports.create(name, threads);
    try {
      transport.start();
    } catch (IOException e) {
      throw new WigeonstageException(ErrorCode.IO, "can't start the HTTP client", e);
    }
    return new ClientTransport(transport);
  }

  /** Returns a request with its body. */
  static HttpPacket packetOf(HttpRequestPacket head, byte[] body) {
    return HttpContent.builder(head).content(Buffers.wrap(null, body)).last(true).build();
  }

  /** Makes a new connection for an exchange, and sends the packet on it. */
  void connect(Endpoint server, ClientExchange exchange, HttpPacket packet) {
    TCPNIOConnectorHandler.builder(transport)
        .processor(chain)
        .build()
        .connect(server.socketAddress(), null, new WhenConnected(exchange, packet));
  }

  /** Runs an action once all is handled that has arrived by now. */
  void afterPendingReads(Runnable action) {
    Connection<?> connection = lastConnected;
    if (connection == null) {
      action.run();
    } else {
      ReadBarrier.pass(connection, action);
    }
  }

  @Override
  public void close() throws IOException {
    transport.shutdownNow();
  }

  /** Hands a connection, or its failure, to its exchange. */
  @SuppressWarnings("rawtypes") // as the connector declares it
  private final class WhenConnected extends EmptyCompletionHandler<Connection> {

    private final ClientExchange exchange;
    private final HttpPacket packet;

    WhenConnected(ClientExchange exchange, HttpPacket packet) {
      this.exchange = exchange;
      this.packet = packet;
    }

    @Override
    public void completed(Connection connection) {
      lastConnected = connection;
      exchange.connected(connection, packet);
    }

    @Override
    public void failed(Throwable cause) {
      exchange.connectFailed(cause);
    }

    @Override
    public void cancelled() {
      exchange.connectFailed(new IOException("connection attempt cancelled"));
    }
  }
}
