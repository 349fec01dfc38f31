package org.wigeonstage.http;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/**
 * A TCP address.
 *
 * @param host an IP number
 * @param port the port; 0 lets the system choose when listening
 */
public record Endpoint(String host, int port) {

  private static final int MAX_PORT = 65_535;

  /** Checks the port's range. */
  public Endpoint {
    checkArgument(port >= 0 && port <= MAX_PORT, "port must be from 0 to 65535, was %s", port);
  }

  /**
   * Returns the endpoint written as host, colon and port.
   *
   * @param text the text
   * @return the endpoint
   */
  public static Endpoint parse(String text) {
    int colon = text.lastIndexOf(':');
    checkArgument(colon > 0, "address must be host:port, was %s", text);
    return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /**
   * Returns the address for sockets.
   *
   * @return the address
   */
  public InetSocketAddress socketAddress() {
    return new InetSocketAddress(host, port);
  }

  /** Written out, as is hashCode: the generated ones are linked slowly with their first use. */
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
