package org.wigeonstage.wire;

import com.codahale.metrics.MetricRegistry;
import java.util.function.Supplier;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.handover.Message;

/**
 * Creates the filter chains of links. Received data passes a {@link FrameFilter}, which decodes
 * messages, and then a {@link LinkFilter}, which passes them to the listener.
 */
final class LinkFilterChains {

  /**
   * The largest frame, without its length. It must fit the largest request body and the other
   * fields.
   */
  static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

  private LinkFilterChains() {}

  static FilterChain create(
      Supplier<Message.Hello> helloSupplier, LinkListener listener, MetricRegistry metrics) {
    return FilterChainBuilder.stateless()
        .add(new TransportFilter())
        .add(new FrameFilter(MAX_FRAME_BYTES))
        .add(
            new LinkFilter(
                helloSupplier,
                listener,
                MonotonicClock.system(),
                metrics.counter("links.badFrames")))
        .build();
  }
}
