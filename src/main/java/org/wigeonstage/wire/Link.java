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
  private final boolean isDialled;
  private final MonotonicClock clock;
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile Message.@Nullable Hello peerHello;
  private volatile Duration lastReceivedAt;

  Link(Connection<?> connection, boolean isDialled, MonotonicClock clock) {
    this.connection = connection;
    this.isDialled = isDialled;
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
   * Returns whether this end has opened the link.
   *
   * @return whether a {@link LinkConnector} has opened it
   */
  public boolean isDialled() {
    return isDialled;
  }

  /**
   * Returns the address of the other end.
   *
   * @return the address, as text for logs
   */
  public String peerAddress() {
    return String.valueOf(connection.getPeerAddress());
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

  /**
   * Returns whether messages can be sent.
   *
   * @return whether neither end has closed the link
   */
  public boolean isOpen() {
    return connection.isOpen();
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
    write(message);
  }

  /**
   * Sends an encoded message. It is dropped if the link is closed.
   *
   * @param message the message
   */
  public void send(EncodedMessage message) {
    write(message);
  }

  private synchronized void write(Object message) {
    if (connection.isOpen()) {
      connection.write(message);
    }
  }

  /**
   * Returns whether the current thread is sending a message. A failure to write closes the
   * connection before the sending method returns.
   */
  boolean isSendingOnCurrentThread() {
    return Thread.holdsLock(this);
  }

  /** Closes the link once all messages have been written. */
  public void closeAfterWrites() {
    connection.closeSilently();
  }

  /** Closes the link at once. */
  public void close() {
    connection.terminateSilently();
  }

  /** Marks the link as closed; returns whether this is the first call. */
  boolean markClosed() {
    return closed.compareAndSet(false, true);
  }
}
