package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.io.Closer;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.common.Polling;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.gateway.ScriptedServer.Ending;
import org.wigeonstage.handover.Message;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.platform.standin.Rehearsal;
import org.wigeonstage.platform.standin.RunnerStandin.Behaviour;
import org.wigeonstage.wire.Link;
import org.wigeonstage.wire.LinkConnector;
import org.wigeonstage.wire.LinkListener;

/** Tests what a gateway sends to a gateway of an earlier build, during an upgrade. */
class EarlierGatewayIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private static final Message IDLE =
      new Message.GatewayLoad(true, false, Map.of(), List.of(), Map.of(), Map.of(), Map.of());

  private final Closer closer = Closer.create();
  private final DecisionLogCapture decisions = closer.register(new DecisionLogCapture());

  /** Records the messages of the gateway. */
  private static final class RecordingListener implements LinkListener {
    private final List<Message> received = new CopyOnWriteArrayList<>();

    private final long stated;

    RecordingListener(long stated) {
      this.stated = stated;
    }

    @Override
    public void opened(Link link) {
      if (stated >= Message.LINK_CHOICE) {
        link.send(new Message.LinkConfirmed());
      }
    }

    @Override
    public void received(Link link, Message message) {
      received.add(message);
      // The gateway closes links of peers that report nothing.
      link.send(IDLE);
    }

    @Override
    public void closed(Link link) {}

    private boolean hasReceived(Class<? extends Message> type) {
      return received.stream().anyMatch(type::isInstance);
    }
  }

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  /** Connects to the gateway as a peer whose hello message states a number. */
  private RecordingListener connectPeer(long stated) throws InterruptedException {
    RecordingListener peer = new RecordingListener(stated);
    LinkConnector connector =
        closer.register(
            LinkConnector.start(
                () -> new Message.Hello(Message.PROTOCOL_VERSION, "gateway", "peer", 1, stated),
                peer,
                new MetricRegistry()));
    connector.connect(peersEndpoint(), cause -> {});
    assertThat(Polling.await(() -> peer.hasReceived(Message.GatewayLoad.class), TIMEOUT)).isTrue();
    return peer;
  }

  private void awaitDecisionAndReports(String event, RecordingListener peer)
      throws InterruptedException {
    assertThat(Polling.await(() -> !decisions.linesOf(event).isEmpty(), TIMEOUT)).isTrue();
    int countBefore = peer.received.size();
    assertThat(Polling.await(() -> peer.received.size() > countBefore + 4, TIMEOUT)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(longs = {0, Message.CRASH_REPORTS})
  void crashesAreReportedOnlyToGatewaysThatReadThem(long stated) throws Exception {
    GatewayFixture fixture = closer.register(new GatewayFixture(1));
    fixture.awaitStatus("stream", 200);
    RecordingListener peer = connectPeer(stated);
    fixture.servers.get(0).setBehaviour(Behaviour.LOSES_RESPONSE);
    fixture.request("status", "r", "Prompt-Prefix: first:60,own:5");
    awaitDecisionAndReports("crash-suspected", peer);
    assertThat(peer.hasReceived(Message.Crash.class)).isEqualTo(stated > 0);
  }

  @ParameterizedTest
  @ValueSource(longs = {0, Message.CRASH_REPORTS, Message.LEAVING_SERVERS})
  void leavingServersAreReportedOnlyToGatewaysThatReadThem(long stated) throws Exception {
    ScriptedServer server =
        closer.register(
            ScriptedServer.afterWarmUp(
                (id, position) ->
                    ScriptedServer.response(
                        "200 OK",
                        "Attempt-Id: %s\r\nResponse-Signature: s\r\nServer-Leaving: 1\r\n"
                            .formatted(id)),
                Ending.KEPT));
    GatewayFixture fixture = closer.register(GatewayFixture.with(server));
    RecordingListener peer = connectPeer(stated);
    fixture.request("status", "r");
    awaitDecisionAndReports("server-leaving", peer);
    assertThat(peer.hasReceived(Message.ServerLeaving.class))
        .isEqualTo(stated == Message.LEAVING_SERVERS);
  }

  @ParameterizedTest
  @ValueSource(longs = {0, Message.LINK_CHOICE, Message.SERVER_SPEEDS})
  void slowServersAreReportedOnlyToGatewaysThatReadThem(long stated) throws Exception {
    GatewayFixture fixture =
        closer.register(
            new GatewayFixture(
                3,
                Rehearsal.configuration(),
                JsonNodeFactory.instance.objectNode().put("learnedServerLimits", true)));
    fixture.awaitStatus("stream", 200);
    RecordingListener peer = connectPeer(stated);
    GatewayCore core = fixture.gateway.core();
    BackendServer slow =
        new BackendServer(
            "runner-1", "engines", Endpoint.parse("127.0.0.1:1"), "zone-a", 4, false, 0);
    Duration slowGap = Duration.ofSeconds(1);
    assertThat(
            Polling.await(
                () -> {
                  core.withLock(
                      () ->
                          core.capacities()
                              .recordPartialGap(slow.pool(), slow, slowGap, core.now()));
                  return !decisions.linesOf("server-limit").isEmpty();
                },
                TIMEOUT))
        .isTrue();
    awaitDecisionAndReports("server-limit", peer);
    assertThat(peer.hasReceived(Message.ServerSpeeds.class))
        .isEqualTo(stated == Message.SERVER_SPEEDS);
  }

  /** Guards against links that a gateway of an earlier build closes because of a message. */
  @ParameterizedTest
  @ValueSource(longs = {Message.SERVER_SPEEDS, Message.CONFIGURATIONS})
  void configurationsAreReportedOnlyToGatewaysThatReadThem(long stated) throws Exception {
    GatewayFixture fixture = closer.register(new GatewayFixture(1));
    fixture.awaitStatus("stream", 200);
    fixture.store.restore(fixture.store.copy());
    assertThat(Polling.await(() -> !decisions.linesOf("store-current").isEmpty(), TIMEOUT))
        .isTrue();
    RecordingListener peer = connectPeer(stated);
    awaitDecisionAndReports("store-current", peer);
    assertThat(peer.hasReceived(Message.ConfigurationKnown.class))
        .isEqualTo(stated == Message.CONFIGURATIONS);
  }

  /** Returns the address that the gateway has registered. */
  private Endpoint peersEndpoint() {
    String line = decisions.linesOf("registered").get(0);
    return Endpoint.parse(line.replaceAll(".*\"address\":\"([^\"]*)\".*", "$1"));
  }
}
