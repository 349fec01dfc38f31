package org.wigeonstage.http;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/**
 * A TCP address.
 *
 * @param host the IP address or name of the host
 * @param port the port; 0 selects a free port when listening
 */
public record Endpoint(String host, int port) {

  private static final int MAX_PORT = 65_535;

  /**
   * Creates an endpoint.
   *
   * @throws IllegalArgumentException if the port is not between 0 and 65535
   */
  public Endpoint {
    checkArgument(port >= 0 && port <= MAX_PORT, "port must be from 0 to 65535, was %s", port);
  }

  /**
   * Parses an endpoint.
   *
   * @param text the host and port, separated by a colon
   * @return the endpoint
   * @throws IllegalArgumentException if the text is not a host and port
   */
  public static Endpoint parse(String text) {
    int colon = text.lastIndexOf(':');
    checkArgument(colon > 0, "address must be host:port, was %s", text);
    return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /**
   * Returns this endpoint as a socket address.
   *
   * @return the socket address
   */
  public InetSocketAddress socketAddress() {
    return new InetSocketAddress(host, port);
  }

  // Implemented explicitly, like hashCode, because the generated methods of records are linked
  // slowly on first use.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof Endpoint that && port == that.port && host.equals(that.host);
  }

  @Override
  public int hashCode() {
    return 31 * host.hashCode() + port;
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
