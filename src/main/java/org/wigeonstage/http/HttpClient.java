package org.wigeonstage.http;

import java.io.Closeable;
import java.io.IOException;
import java.util.Map;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.request.HttpCall;

/**
 * Makes HTTP calls, each on a connection of its own and at most once.
 *
 * <p>A connection that was used before may be closed by its server at the moment of the next call,
 * which would leave it open whether that call ran; so connections are not used again.
 */
public final class HttpClient implements Closeable {

  private final ClientTransport transport;
  private final MonotonicClock clock = MonotonicClock.system();

  private HttpClient(ClientTransport transport) {
    this.transport = transport;
  }

  /**
   * Starts a client.
   *
   * @param name the prefix of the names of its threads
   * @param threads the number of its threads
   * @return the client
   */
  public static HttpClient start(String name, int threads) {
    return new HttpClient(ClientTransport.start(name, threads));
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
      Endpoint target, HttpCall call, Map<String, String> headers, ResponseListener listener) {
    ClientExchange exchange = new ClientExchange(listener, clock);
    transport.connect(target, exchange, packetOf(target, call, headers));
    return exchange;
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
    return ClientTransport.packetOf(builder.build(), call.body());
  }

  @Override
  public void close() throws IOException {
    transport.close();
  }
}
