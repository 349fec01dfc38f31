package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.common.io.Closer;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeonstage.common.Polling;
import org.wigeonstage.fleet.FleetStore;
import org.wigeonstage.handover.Message;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.wire.Link;
import org.wigeonstage.wire.LinkConnector;
import org.wigeonstage.wire.LinkListener;

/** Tests the links between gateways on sockets, and links that peers should not open. */
class PeerLinksIT {

  private static final int GATEWAYS = 24;
  private static final int SIDES_OF_PAIRS = GATEWAYS * (GATEWAYS - 1);
  private static final double MAX_CONNECTS_PER_SIDE = 1.1;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** Several times as long as a gateway waits for a silent peer. */
  private static final Duration OBSERVED_TIME = Duration.ofSeconds(4);

  private final Closer closer = Closer.create();
  private final DecisionLogCapture decisions = closer.register(new DecisionLogCapture());

  /** Ignores what arrives. */
  private static final class IgnoringListener implements LinkListener {
    @Override
    public void opened(Link link) {}

    @Override
    public void received(Link link, Message message) {}

    @Override
    public void closed(Link link) {}
  }

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  @Test
  void eachPairOfGatewaysThatStartTogetherConnectsOnce() throws Exception {
    GatewayFixture fixture = closer.register(new GatewayFixture(0));
    CountDownLatch unregistered = new CountDownLatch(GATEWAYS - 1);
    for (int i = 2; i <= GATEWAYS; i++) {
      fixture.startGateway("gateway-" + i, store -> listingOnceRegistered(store, unregistered));
    }
    awaitLines("peer-connected", SIDES_OF_PAIRS);
    Thread.sleep(OBSERVED_TIME.toMillis());
    assertThat(decisions.linesOf("peer-connected"))
        .hasSizeLessThanOrEqualTo((int) (MAX_CONNECTS_PER_SIDE * SIDES_OF_PAIRS));
    assertThat(decisions.linesOf("peer-lost").size())
        .isLessThanOrEqualTo((int) ((MAX_CONNECTS_PER_SIDE - 1) * SIDES_OF_PAIRS));
  }

  /** Returns a store whose first list is read once all gateways have registered. */
  private static FleetStore listingOnceRegistered(FleetStore store, CountDownLatch unregistered) {
    return (FleetStore)
        Proxy.newProxyInstance(
            FleetStore.class.getClassLoader(),
            new Class<?>[] {FleetStore.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("readGateways")) {
                unregistered.await();
              }
              Object result = method.invoke(store, arguments);
              if (method.getName().equals("register")) {
                unregistered.countDown();
              }
              return result;
            });
  }

  @ParameterizedTest
  @CsvSource({"gateway,gateway-1,own-name", "entry,entry-1,other-role"})
  void refusesHelloOfWhatIsNoPeer(String role, String name, String reason) throws Exception {
    startTwoGateways();
    connect(role, name, 1);
    awaitRefusal(reason);
    assertTwoGatewaysUndisturbed();
  }

  @Test
  void closesLinkWithoutHello() throws Exception {
    startTwoGateways();
    Endpoint peers = peersEndpoint();
    try (Socket socket = new Socket(peers.host(), peers.port())) {
      socket.setSoTimeout((int) TIMEOUT.toMillis());
      assertThat(socket.getInputStream().readAllBytes()).isNotEmpty();
    }
    awaitRefusal("no-hello");
    assertTwoGatewaysUndisturbed();
  }

  @Test
  void refusesHundredLinksInOneLine() throws Exception {
    startTwoGateways();
    for (int i = 0; i < 100; i++) {
      connect("gateway", "other", 1);
    }
    awaitRefusal("too-many-links");
    assertTwoGatewaysUndisturbed();
  }

  /** The stranger's incarnation is far before those of the gateways, which are start times. */
  @Test
  void refusesEarlierIncarnationOfConnectedPeer() throws Exception {
    startTwoGateways();
    connect("gateway", "gateway-2", 1);
    awaitRefusal("older-incarnation");
    assertTwoGatewaysUndisturbed();
  }

  private void startTwoGateways() throws InterruptedException {
    GatewayFixture fixture = closer.register(new GatewayFixture(0));
    awaitLines("registered", 1);
    fixture.startGateway("gateway-2");
    awaitLines("peer-connected", 2);
  }

  private void connect(String role, String name, long incarnation) {
    LinkConnector connector =
        closer.register(
            LinkConnector.start(
                () ->
                    new Message.Hello(
                        Message.PROTOCOL_VERSION, role, name, incarnation, Message.LINK_CHOICE),
                new IgnoringListener(),
                new MetricRegistry()));
    connector.connect(peersEndpoint(), cause -> {});
  }

  private void awaitRefusal(String reason) throws InterruptedException {
    assertThat(Polling.await(() -> !refusals(reason).isEmpty(), TIMEOUT)).isTrue();
    Thread.sleep(OBSERVED_TIME.toMillis());
    assertThat(refusals(reason)).hasSize(1);
  }

  private List<String> refusals(String reason) {
    return decisions.linesOf("link-refused").stream()
        .filter(line -> line.contains("\"reason\":\"" + reason + "\""))
        .toList();
  }

  private void assertTwoGatewaysUndisturbed() {
    assertThat(linesAbout("peer-lost", "gateway-")).isEmpty();
    assertThat(linesAbout("peer-connected", "gateway-")).hasSize(2);
  }

  private List<String> linesAbout(String event, String peerPrefix) {
    return decisions.linesOf(event).stream()
        .filter(line -> line.contains("\"peer\":\"" + peerPrefix))
        .toList();
  }

  private void awaitLines(String event, int count) throws InterruptedException {
    assertThat(Polling.await(() -> decisions.linesOf(event).size() >= count, TIMEOUT))
        .as("%s lines of %s within %s", count, event, TIMEOUT)
        .isTrue();
  }

  /** Returns the address that the first gateway has registered. */
  private Endpoint peersEndpoint() {
    String line = decisions.linesOf("registered").get(0);
    return Endpoint.parse(line.replaceAll(".*\"address\":\"([^\"]*)\".*", "$1"));
  }
}
