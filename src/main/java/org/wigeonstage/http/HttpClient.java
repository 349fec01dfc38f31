package org.wigeonstage.http;

import java.io.Closeable;
import java.io.IOException;
import java.util.Map;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.request.HttpCall;

/**
 * HTTP client that sends each call on a new connection and never retries.
 *
 * <p>Connections are not reused, because a server may close an idle connection just as the next
 * call is sent on it. It would then be unknown whether that call was executed.
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
   * @return the running client
   */
  public static HttpClient start(String name, int threads) {
    return new HttpClient(ClientTransport.start(name, threads, ServerConnectionListener.NONE));
  }

  /**
   * Sends a call without waiting for the response.
   *
   * @param target the address of the server
   * @param call the call to send
   * @param fields further header fields
   * @param listener receives the response, on the client's threads
   * @return the exchange, through which the call can be paused or aborted
   */
  public ClientExchange send(
      Endpoint target, HttpCall call, Map<String, String> fields, ResponseListener listener) {
    ClientExchange exchange = new ClientExchange(listener, clock);
    transport.connect(target, exchange, packetOf(target, call, fields));
    return exchange;
  }

  private static HttpPacket packetOf(Endpoint target, HttpCall call, Map<String, String> fields) {
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
    fields.forEach(builder::header);
    return ClientTransport.packetOf(builder.build(), call.body());
  }

  @Override
  public void close() throws IOException {
    transport.close();
  }
}
