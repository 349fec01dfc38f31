package org.wigeonstage.http;

import java.io.Closeable;
import java.io.IOException;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
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

/** Opens connections to HTTP servers; used by both HTTP clients. */
final class ClientTransport implements Closeable {

  private final TCPNIOTransport transport;
  private final FilterChain filterChain;
  private volatile @Nullable Connection<?> lastConnection;

  private ClientTransport(TCPNIOTransport transport, ServerConnectionListener listener) {
    this.transport = transport;
    this.filterChain =
        FilterChainBuilder.stateless()
            .add(new ReadingTransportFilter())
            .add(new ResponseSyntaxFilter())
            .add(new HttpClientFilter())
            .add(new ResponseFilter(listener))
            .build();
  }

  /** Starts a transport with the given number of selector threads. */
  static ClientTransport start(String name, int threads, ServerConnectionListener listener) {
    TCPNIOTransport transport = Transports.create(name, threads);
    try {
      transport.start();
    } catch (IOException e) {
      throw new WigeonstageException(ErrorCode.IO, "can't start the HTTP client", e);
    }
    return new ClientTransport(transport, listener);
  }

  /** Creates a packet from the head and the body of a request. */
  static HttpPacket packetOf(HttpRequestPacket head, byte[] body) {
    return HttpContent.builder(head).content(Buffers.wrap(null, body)).last(true).build();
  }

  /** Opens a connection for an exchange, which then sends the packet on it. */
  void connect(Endpoint server, ClientExchange exchange, HttpPacket packet) {
    TCPNIOConnectorHandler.builder(transport)
        .processor(filterChain)
        .build()
        .connect(server.socketAddress(), null, new ConnectCompletionHandler(exchange, packet));
  }

  /**
   * Runs an action once all data that has already arrived is processed, or at once if no connection
   * was ever established. Covers only the connections that share the selector thread of the newest
   * connection.
   */
  void afterPendingReads(Runnable action) {
    Connection<?> connection = lastConnection;
    if (connection == null) {
      action.run();
    } else {
      ReadBarrier.runAfterPendingReads(connection, action);
    }
  }

  @Override
  public void close() throws IOException {
    transport.shutdownNow();
  }

  /** Passes the new connection, or the failure to connect, to the exchange. */
  @SuppressWarnings("rawtypes") // as the connector declares it
  private final class ConnectCompletionHandler extends EmptyCompletionHandler<Connection> {

    private final ClientExchange exchange;
    private final HttpPacket packet;

    ConnectCompletionHandler(ClientExchange exchange, HttpPacket packet) {
      this.exchange = exchange;
      this.packet = packet;
    }

    @Override
    public void completed(Connection connection) {
      lastConnection = connection;
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
