package org.wigeonstage.http;

import java.io.Closeable;
import java.io.IOException;
import java.util.Map;
import org.glassfish.grizzly.CompletionHandler;
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
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.request.HttpCall;

/**
 * Makes HTTP calls, each on a connection of its own and at most once.
 *
 * <p>A connection that was used before may be closed by its server at the moment of the next call,
 * which would leave it open whether that call ran; so connections are not used again.
 */
public final class HttpClient implements Closeable {

  private final TCPNIOTransport transport;
  private final FilterChain chain;

  private HttpClient(TCPNIOTransport transport) {
    this.transport = transport;
    this.chain =
        FilterChainBuilder.stateless()
            .add(new TransportFilter())
            .add(new HttpClientFilter())
            .add(new AnswerFilter())
            .build();
  }

  /**
   * Starts a client.
   *
   * @param name the prefix of the names of its threads
   * @param threads the number of its threads
   * @return the client
   */
  public static HttpClient start(String name, int threads) {
    TCPNIOTransport transport = Transports.create(name, threads);
    try {
      transport.start();
    } catch (IOException e) {
      throw new WigeonstageException(ErrorCode.IO, "can't start the HTTP client", e);
    }
    return new HttpClient(transport);
  }

  /**
   * Makes a call.
   *
   * @param target the server
   * @param call what to send
   * @param headers further header fields
   * @param listener what follows the answer; called on the client's threads
   * @return the call, to pause or abort it
   */
  public ClientExchange send(
      Endpoint target, HttpCall call, Map<String, String> headers, AnswerListener listener) {
    ClientExchange exchange = new ClientExchange(listener);
    HttpPacket packet = packetOf(target, call, headers);
    TCPNIOConnectorHandler.builder(transport)
        .processor(chain)
        .build()
        .connect(target.socketAddress(), null, whenConnected(exchange, packet));
    return exchange;
  }

  static CompletionHandler<Connection> whenConnected(ClientExchange exchange, HttpPacket packet) {
    return new EmptyCompletionHandler<>() {
      @Override
      public void completed(Connection connection) {
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
    };
  }

  private static HttpPacket packetOf(Endpoint target, HttpCall call, Map<String, String> headers) {
    HttpRequestPacket.Builder builder =
        HttpRequestPacket.builder()
            .method(call.method())
            .uri(call.path())
            .protocol("HTTP/1.1")
            .host(target.toString())
            .header("Connection", "close")
            .contentLength(call.body().length);
    if (call.contentType() != null) {
      builder.header("Content-Type", call.contentType());
    }
    headers.forEach(builder::header);
    return HttpContent.builder(builder.build())
        .content(Buffers.wrap(null, call.body()))
        .last(true)
        .build();
  }

  @Override
  public void close() throws IOException {
    transport.shutdownNow();
  }
}
