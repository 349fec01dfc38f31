package org.wigeonstage.wire;

import com.codahale.metrics.Counter;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.handover.Message;
import org.wigeonstage.http.Transports;

/**
 * Exchanges the hello messages on each link, and passes all later messages to a {@link
 * LinkListener}.
 */
final class LinkFilter extends BaseFilter {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Supplier<Message.Hello> helloSupplier;
  private final LinkListener listener;
  private final MonotonicClock clock;
  private final Counter badFrames;

  LinkFilter(
      Supplier<Message.Hello> helloSupplier,
      LinkListener listener,
      MonotonicClock clock,
      Counter badFrames) {
    this.helloSupplier = helloSupplier;
    this.listener = listener;
    this.clock = clock;
    this.badFrames = badFrames;
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) {
    createLinkAndSendHello(context.getConnection(), false);
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleConnect(FilterChainContext context) {
    createLinkAndSendHello(context.getConnection(), true);
    return context.getInvokeAction();
  }

  private void createLinkAndSendHello(Connection<?> connection, boolean isDialled) {
    Link link = new Link(connection, isDialled, clock);
    Link.ATTRIBUTE.set(connection, link);
    listener.connected(link);
    link.send(helloSupplier.get());
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    Link link = Link.ATTRIBUTE.get(context.getConnection());
    Message message = context.getMessage();
    link.markReceived();
    if (link.hasPeerHello()) {
      listener.received(link, message);
    } else {
      acceptHello(link, message);
    }
    return context.getStopAction();
  }

  private void acceptHello(Link link, Message message) {
    if (!(message instanceof Message.Hello hello)) {
      throw new BadFrameException("the first message is not a hello message", null);
    }
    if (hello.protocolVersion() != Message.PROTOCOL_VERSION) {
      throw new BadFrameException(
          "the peer uses protocol version "
              + hello.protocolVersion()
              + ", expected "
              + Message.PROTOCOL_VERSION,
          null);
    }
    link.updatePeerHello(hello);
    listener.opened(link);
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    Link link = Link.ATTRIBUTE.get(context.getConnection());
    if (link != null && link.hasPeerHello() && link.markClosed()) {
      if (link.isSendingOnCurrentThread()) {
        // The listener is not called inside the step in which it sends.
        Transports.runOnSelectorThread(context.getConnection(), () -> listener.closed(link));
      } else {
        listener.closed(link);
      }
    }
    return context.getInvokeAction();
  }

  @Override
  public void exceptionOccurred(FilterChainContext context, Throwable error) {
    if (error instanceof BadFrameException) {
      badFrames.inc();
    } else if (!(error instanceof IOException)) {
      logger.atSevere().atMostEvery(10, TimeUnit.SECONDS).withCause(error).log(
          "closing a link after an unexpected error");
    }
    context.getConnection().terminateSilently();
  }
}
