package org.wigeonstage.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.wigeonstage.capacity.SpeedReport;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.KeyHash;
import org.wigeonstage.crash.CrashReport;
import org.wigeonstage.fleet.ConfigurationReport;
import org.wigeonstage.fleet.KnownConfiguration;
import org.wigeonstage.fleet.StoreVersion;
import org.wigeonstage.handover.LoadReport;
import org.wigeonstage.handover.Message;
import org.wigeonstage.handover.WaitingCount;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.request.Tier;
import org.wigeonstage.rollout.ResponseCounts;
import org.wigeonstage.rollout.RolloutDirective;
import org.wigeonstage.rollout.RolloutOrder;
import org.wigeonstage.rollout.RolloutReport;
import org.wigeonstage.rollout.RolloutState;
import org.wigeonstage.rollout.RolloutStep;
import org.wigeonstage.rollout.TimeHistogram;
import org.wigeonstage.routes.AccountQuota;
import org.wigeonstage.routes.ClientAccount;
import org.wigeonstage.routes.ConnectionLimits;
import org.wigeonstage.routes.PoolDefinition;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RouteKind;
import org.wigeonstage.routes.RoutingTable;
import org.wigeonstage.routes.WeightedPool;

class MessageCodecTest {

  private static final RolloutOrder ORDER =
      new RolloutOrder(
          "n",
          "p",
          "v2",
          Duration.ofSeconds(12),
          new StoreVersion(3, 1L << 40),
          RolloutState.ACTIVE);

  private static final RequestId ID = RequestId.of("r-1");
  private static final HttpCall CALL =
      new HttpCall("POST", "/confirm?x=1", null, "body".getBytes(StandardCharsets.UTF_8));

  private static RequestSpec spec(IdempotencyKey key) {
    return new RequestSpec(
        "portal",
        Tier.of(2),
        "runners",
        true,
        key,
        new RequestCost(100, 20, -5),
        CALL,
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
  }

  @Test
  void decodesEveryEncodedMessage() {
    List<Message> messages =
        List.of(
            new Message.Hello(1, "entry", "entry-1", 5, 7),
            new Message.Offer(ID, 3, Instant.ofEpochMilli(12345), true, 77, spec(null)),
            new Message.Offer(
                ID, 3, Instant.EPOCH, false, 0, spec(IdempotencyKey.of("portal", "k", CALL))),
            new Message.Accepted(ID),
            new Message.Refused(ID, ErrorCode.OVERLOADED),
            new Message.Rejected(ID, ErrorCode.KEY_CONFLICT, Outcome.NOT_RUN),
            new Message.Withdraw(ID, 9, Instant.ofEpochMilli(5)),
            new Message.Dispatched(ID),
            new Message.Head(ID, 200, null),
            new Message.Head(ID, 503, "text/plain"),
            new Message.End(ID, 1L << 40, Outcome.UNKNOWN),
            new Message.Acknowledge(ID, 17),
            new Message.Crash(
                new CrashReport(
                    "i-1@17",
                    "runners",
                    Duration.ofMillis(1500),
                    true,
                    false,
                    List.of(List.of("a", "b"), List.of("c")),
                    Set.of("c"))),
            new Message.ServerLeaving("i-1@17", Duration.ofMillis(1500)),
            new Message.LinkConfirmed(),
            new Message.LinkClosing("superseded"),
            new Message.ServerSpeeds(List.of(new SpeedReport("i-1@17", 310, 250))),
            new Message.Resume(ID, 3, Instant.ofEpochMilli(5), 17),
            new Message.Cancel(ID),
            new Message.Ping(1, 2),
            new Message.Pong(
                1, 2, new LoadReport(1, 2, 3, 4, 5, -1, LoadReport.IDLE.headroomByTier())),
            new Message.Leaving(),
            new Message.GatewayLoad(
                false, true, Map.of("s1", 0), List.of(), Map.of(), Map.of(), Map.of()),
            new Message.GatewayLoad(
                true,
                true,
                Map.of("s1", 3),
                List.of(new WaitingCount("pool", 0, 2, 5)),
                Map.of("shop", 1L << 40),
                Map.of("shop", 7L),
                Map.of("shop", 8L)),
            new Message.ConfigSnapshot(8, "{}"));
    for (Message message : messages) {
      assertThat(MessageDecoder.decode(MessageEncoder.encode(message))).isEqualTo(message);
    }
  }

  @Test
  void decodesEveryEncodedMessageAboutRollouts() {
    ResponseCounts counts =
        new ResponseCounts(
            "chat", "s1", 5, 2, TimeHistogram.EMPTY, new TimeHistogram(Map.of(40, 3)));
    Duration age = Duration.ofMillis(7);
    List<Message> messages =
        List.of(
            new Message.RolloutCommand(new RolloutDirective(ORDER, RolloutStep.RAMP, age)),
            new Message.RolloutStatus(new RolloutReport(ORDER, age, true, 2, List.of(counts))));
    for (Message message : messages) {
      assertThat(MessageDecoder.decode(MessageEncoder.encode(message))).isEqualTo(message);
    }
  }

  /** Guards against an era that is cut to fewer bits. */
  @Test
  void decodesEraOfStore() {
    Message message = new Message.StoreEra(1L << 33);
    assertThat(MessageDecoder.decode(MessageEncoder.encode(message))).isEqualTo(message);
  }

  /** Guards against a configuration that decides otherwise at the gateway that receives it. */
  @Test
  void decodesEveryEncodedMessageAboutConfigurations() {
    Route route =
        new Route(
            "r",
            "a.example",
            "/p/",
            RouteKind.STREAMING,
            true,
            Duration.ofMillis(1001),
            Duration.ofMillis(150),
            Duration.ofMillis(400),
            2,
            3,
            true,
            List.of(new WeightedPool("portal", 3), new WeightedPool("audit", 1)));
    ClientAccount account =
        new ClientAccount(
            "Clínica",
            Set.of(KeyHash.of("a"), KeyHash.of("b")),
            1,
            new AccountQuota(174_988.5, 10, true, 200));
    RoutingTable table =
        new RoutingTable(
            8,
            List.of(route),
            List.of(new PoolDefinition("portal", "/healthz", 100, 14, 1L << 40, 5)),
            List.of(account),
            new ConnectionLimits(16_384, 4, Duration.ofSeconds(3), Duration.ofSeconds(15)));
    KnownConfiguration known = new KnownConfiguration(new StoreVersion(2, 1L << 40), 8, -1);
    Duration age = Duration.ofMillis(1234);
    List<Message> messages =
        List.of(
            new Message.ConfigurationKnown(known),
            new Message.ConfigurationKnown(null),
            new Message.ConfigurationRequest(1L << 40, -1),
            new Message.ConfigurationReply(5, null),
            new Message.ConfigurationReply(5, new ConfigurationReport(known, age, null)));
    for (Message message : messages) {
      assertThat(MessageDecoder.decode(MessageEncoder.encode(message))).isEqualTo(message);
    }
    Message reply = new Message.ConfigurationReply(6, new ConfigurationReport(known, age, table));
    Message.ConfigurationReply decoded =
        (Message.ConfigurationReply) MessageDecoder.decode(MessageEncoder.encode(reply));
    RoutingTable decodedTable = Objects.requireNonNull(decoded.report()).table();
    assertThat(Objects.requireNonNull(decodedTable).hasSameContent(table)).isTrue();
  }

  @Test
  void decodesBytesOfChunk() {
    byte[] data = {1, 2, 3};
    Message decoded = MessageDecoder.decode(MessageEncoder.encode(new Message.Chunk(ID, 4, data)));
    assertThat(((Message.Chunk) decoded).data()).isEqualTo(data);
  }

  @Property(tries = 2000, seed = "42")
  void throwsOnlyBadFrameExceptionForArbitraryBytes(@ForAll byte[] frame) {
    try {
      MessageDecoder.decode(frame);
    } catch (BadFrameException e) {
      assertThat(e.code()).isEqualTo(ErrorCode.BAD_FRAME);
    }
  }

  @Test
  void rejectsExtraBytesAfterMessage() {
    byte[] frame = MessageEncoder.encode(new Message.Leaving());
    byte[] longer = Arrays.copyOf(frame, frame.length + 1);
    assertThatThrownBy(() -> MessageDecoder.decode(longer))
        .isInstanceOf(BadFrameException.class)
        .hasMessage("frame has extra bytes after its message");
  }
}
