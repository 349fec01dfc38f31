package org.wigeonstage.wire;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.handover.Message;

/** One connection between an entry and an agent. Safe for use by several threads. */
public final class Link {

  static final Attribute<Link> ATTRIBUTE =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("wigeonstage.link");

  private static final AtomicLong NEXT_ID = new AtomicLong();

  private final LinkId id = LinkId.of(NEXT_ID.incrementAndGet());
  private final Connection<?> connection;
  private final MonotonicClock clock;
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile Message.@Nullable Hello peer;
  private volatile Duration lastReceived;

  Link(Connection<?> connection, MonotonicClock clock) {
    this.connection = connection;
    this.clock = clock;
    this.lastReceived = clock.elapsed();
  }

  /**
   * Returns the connection's identifier.
   *
   * @return the identifier
   */
  public LinkId id() {
    return id;
  }

  /**
   * Returns what the peer said of itself.
   *
   * @return the peer's first message
   */
  public Message.Hello peerHello() {
    Message.Hello hello = peer;
    if (hello == null) {
      throw new IllegalStateException("the peer has not said hello");
    }
    return hello;
  }

  boolean isGreeted() {
    return peer != null;
  }

  void greeted(Message.Hello hello) {
    peer = hello;
  }

  void received() {
    lastReceived = clock.elapsed();
  }

  /**
   * Returns how long nothing has come from the peer.
   *
   * @return the time since the last message
   */
  public Duration timeSinceLastMessage() {
    return clock.elapsed().minus(lastReceived);
  }

  /**
   * Sends a message; on a closed connection it is dropped.
   *
   * @param message the message
   */
  public void send(Message message) {
    if (connection.isOpen()) {
      connection.write(message);
    }
  }

  /** Closes the connection. */
  public void close() {
    connection.terminateSilently();
  }

  boolean markClosed() {
    return closed.compareAndSet(false, true);
  }
}
