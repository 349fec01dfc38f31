package org.wigeonstage.system;

import java.io.IOException;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.http.Endpoint;

/**
 * A caller that uses a connection until it is closed, and then connects anew to any gateway. Some
 * read slowly, some send the next request as soon as an answer is there.
 */
final class SoakCaller {

  /** The longest wait after a refusal, whatever it asks for. */
  private static final long AFTER_REFUSAL_MILLIS = 20;

  private static final long RECONNECT_MILLIS = 20;
  private static final int LARGE_ANSWER_BYTES = 8_000_000;
  private static final int REFUSED = 400;

  private final String name;
  private final SplittableRandom random;
  private final List<GatewayHandle> gateways;
  private final Function<GatewayHandle, Endpoint> address;
  private final int timeoutMillis;
  private final SoakClock clock;
  private final boolean isSlow;
  private final int maxPauseMillis;
  private final Queue<SoakCall> calls = new ConcurrentLinkedQueue<>();
  private final Thread thread = new Thread(this::run);
  private volatile boolean stopping;
  private @Nullable SoakWork first;
  private int connections;
  private int requests;

  SoakCaller(
      String name,
      SplittableRandom random,
      List<GatewayHandle> gateways,
      Function<GatewayHandle, Endpoint> address,
      int timeoutMillis,
      SoakClock clock) {
    this.name = name;
    this.random = random;
    this.gateways = gateways;
    this.address = address;
    this.timeoutMillis = timeoutMillis;
    this.clock = clock;
    this.isSlow = random.nextInt(6) == 0;
    this.maxPauseMillis = random.nextBoolean() ? 0 : 60;
    thread.setDaemon(true);
    thread.setName(name);
  }

  /** Sets its first request. */
  void beginWith(SoakWork work) {
    first = work;
  }

  void start() {
    thread.start();
  }

  /** Lets the caller finish its request; returns what it saw. */
  List<SoakCall> finish(long limitMillis) throws InterruptedException {
    stopping = true;
    thread.join(limitMillis);
    if (thread.isAlive()) {
      throw new AssertionError(name + " did not finish");
    }
    return List.copyOf(calls);
  }

  void stop() {
    stopping = true;
  }

  private void run() {
    while (!stopping) {
      GatewayHandle gateway = gateways.get(random.nextInt(gateways.size()));
      try (SoakConnection connection =
          new SoakConnection(address.apply(gateway), isSlow, timeoutMillis, clock)) {
        use(connection, gateway.name(), name + "-" + ++connections);
      } catch (IOException e) {
        // The gateway is down; another one may be up.
        Fleet.sleep(RECONNECT_MILLIS);
      }
    }
  }

  private void use(SoakConnection connection, String gateway, String connectionName) {
    for (int position = 1; !stopping; position++) {
      SoakCall call =
          new SoakCall(name + "." + ++requests, gateway, connectionName, position, work());
      calls.add(call);
      if (!connection.exchange(call)) {
        return;
      }
      Fleet.sleep(
          call.status >= REFUSED
              ? AFTER_REFUSAL_MILLIS
              : maxPauseMillis == 0 ? 0 : random.nextInt(maxPauseMillis));
    }
  }

  private SoakWork work() {
    SoakWork next = first;
    if (next != null) {
      first = null;
      return next;
    }
    if (isSlow && random.nextInt(3) == 0) {
      return SoakWork.plain(0, LARGE_ANSWER_BYTES);
    }
    return SoakWork.draw(random);
  }
}
