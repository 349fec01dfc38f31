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

/** A connection that carries the hand-over protocol. Safe for use by several threads. */
public final class Link {

  static final Attribute<Link> ATTRIBUTE =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("wigeonstage.link");

  private static final AtomicLong NEXT_ID = new AtomicLong();

  private final LinkId id = LinkId.of(NEXT_ID.incrementAndGet());
  private final Connection<?> connection;
  private final MonotonicClock clock;
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile Message.@Nullable Hello peerHello;
  private volatile Duration lastReceivedAt;

  Link(Connection<?> connection, MonotonicClock clock) {
    this.connection = connection;
    this.clock = clock;
    this.lastReceivedAt = clock.elapsed();
  }

  /**
   * Returns the identifier of the link.
   *
   * @return the identifier
   */
  public LinkId id() {
    return id;
  }

  /**
   * Returns the first message of the peer.
   *
   * @return the message
   * @throws IllegalStateException if the peer has not sent it yet
   */
  public Message.Hello peerHello() {
    Message.Hello hello = peerHello;
    if (hello == null) {
      throw new IllegalStateException("the peer has not sent its hello message");
    }
    return hello;
  }

  boolean hasPeerHello() {
    return peerHello != null;
  }

  void updatePeerHello(Message.Hello hello) {
    peerHello = hello;
  }

  void markReceived() {
    lastReceivedAt = clock.elapsed();
  }

  /**
   * Returns the time since the last message from the peer, or since the link was opened if there
   * was none.
   *
   * @return the time
   */
  public Duration timeSinceLastMessage() {
    return clock.elapsed().minus(lastReceivedAt);
  }

  /**
   * Sends a message. It is dropped if the link is closed.
   *
   * @param message the message
   */
  public void send(Message message) {
    if (connection.isOpen()) {
      connection.write(message);
    }
  }

  /**
   * Sends an encoded message. It is dropped if the link is closed.
   *
   * @param message the message
   */
  public void send(EncodedMessage message) {
    if (connection.isOpen()) {
      connection.write(message);
    }
  }

  /** Closes the link. */
  public void close() {
    connection.terminateSilently();
  }

  /** Marks the link as closed; returns whether this is the first call. */
  boolean markClosed() {
    return closed.compareAndSet(false, true);
  }
}
