package org.wigeonstage.benchmark;

import com.codahale.metrics.MetricRegistry;
import java.io.Closeable;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.handover.Message;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.wire.Link;
import org.wigeonstage.wire.LinkListener;
import org.wigeonstage.wire.LinkServer;

/** A peer that sends load reports as often as a gateway does, and counts the received messages. */
final class FakePeer implements Closeable, LinkListener {

  /** Three ticks of a gateway, of which each follows 20 ms after the end of the previous one. */
  private static final int REPORT_INTERVAL_MILLIS = 60;

  /** Reports between two complete ones. */
  private static final int COMPLETE_REPORT_INTERVAL = 33;

  private static final int CHANGES_PER_REPORT = 3;

  private final String name;
  private final int serverCount;
  private final LinkServer server;
  private final SplittableRandom random;
  private final AtomicLong received = new AtomicLong();
  private volatile @Nullable Link link;
  private int reportCount;

  FakePeer(String name, int serverCount, MetricRegistry metrics) {
    this.name = name;
    this.serverCount = serverCount;
    this.random = new SplittableRandom(name.hashCode());
    this.server = LinkServer.start(new Endpoint("127.0.0.1", 0), this::hello, this, metrics);
  }

  private Message.Hello hello() {
    return new Message.Hello(Message.PROTOCOL_VERSION, "gateway", name, 1, Message.LINK_CHOICE);
  }

  String name() {
    return name;
  }

  Endpoint endpoint() {
    return server.endpoint();
  }

  long received() {
    return received.get();
  }

  void reportPeriodically(ScheduledExecutorService timer) {
    timer.scheduleAtFixedRate(
        this::report,
        random.nextInt(REPORT_INTERVAL_MILLIS),
        REPORT_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void report() {
    Link current = link;
    if (current != null) {
      boolean isComplete = reportCount++ % COMPLETE_REPORT_INTERVAL == 0;
      Map<String, Integer> running = new HashMap<>();
      while (running.size() < (isComplete ? serverCount / 2 : CHANGES_PER_REPORT)) {
        running.put("server-" + (1 + random.nextInt(serverCount)), random.nextInt(2));
      }
      current.send(
          new Message.GatewayLoad(
              isComplete,
              false,
              running,
              List.of(),
              Map.of("shop", reportCount * 100L),
              Map.of(),
              Map.of()));
    }
  }

  @Override
  public void connected(Link connected) {}

  @Override
  public void opened(Link opened) {
    reportCount = 0;
    opened.send(new Message.LinkConfirmed());
    link = opened;
  }

  @Override
  public void received(Link source, Message message) {
    received.incrementAndGet();
  }

  @Override
  public void closed(Link closed) {
    if (link == closed) {
      link = null;
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
