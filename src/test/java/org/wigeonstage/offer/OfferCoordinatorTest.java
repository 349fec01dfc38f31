package org.wigeonstage.offer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.config.ConfigurationDocument;
import org.wigeonstage.config.MemberSpec;
import org.wigeonstage.config.PoolSpec;
import org.wigeonstage.handover.LoadReport;
import org.wigeonstage.handover.Message;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.request.Tier;
import org.wigeonstage.routing.RoutingPolicy;

class OfferCoordinatorTest {

  private static final RequestId ID = RequestId.of("r-1");

  private Instant now = Instant.parse("2026-01-01T00:00:00Z");
  private final List<String> offeredTo = new ArrayList<>();
  private final List<Message> sent = new ArrayList<>();
  private final List<SubmissionResult> results = new ArrayList<>();
  private final PoolDirectory directory = new PoolDirectory();
  private final OfferCoordinator coordinator =
      new OfferCoordinator(
          OfferLimits.DEFAULTS,
          directory,
          RoutingPolicy.ROUND_ROBIN.createRouter(new SplittableRandom(1)),
          () -> now,
          new RecordingEffects());

  @BeforeEach
  void linkTwoAgents() {
    PoolSpec pool =
        new PoolSpec(
            "pool",
            PoolSpec.Kind.SERVICE,
            List.of(),
            List.of(new MemberSpec("a", "fd"), new MemberSpec("b", "fd")),
            true);
    directory.applyConfiguration(
        new ConfigurationDocument(List.of(), List.of(), List.of(pool), List.of()));
    coordinator.linkUp("a", 1);
    coordinator.linkUp("b", 1);
  }

  private void submit(@Nullable IdempotencyKey key) {
    HttpCall call = new HttpCall("POST", "/", null, new byte[0]);
    RequestSpec spec =
        new RequestSpec(
            "account", Tier.of(1), "pool", false, key, RequestCost.SERVICE_CALL, call, null);
    coordinator.submit(ID, spec, now.plusSeconds(10), now.plusSeconds(60));
  }

  private String otherAgent() {
    return offeredTo.get(0).equals("a") ? "b" : "a";
  }

  @Test
  void offersRefusedRequestToAnotherAgent() {
    submit(null);
    coordinator.receive(offeredTo.get(0), new Message.Refused(ID, ErrorCode.OVERLOADED));
    assertThat(offeredTo).hasSize(2).doesNotHaveDuplicates();
  }

  @Test
  void reportsNotRunWhenAllAgentsRefuse() {
    submit(null);
    coordinator.receive(offeredTo.get(0), new Message.Refused(ID, ErrorCode.OVERLOADED));
    coordinator.receive(offeredTo.get(1), new Message.Refused(ID, ErrorCode.OVERLOADED));
    assertThat(results).containsExactly(SubmissionResult.notRun(ErrorCode.OVERLOADED));
  }

  @Test
  void ignoresLateRefusalOfFormerAgent() {
    submit(null);
    String first = offeredTo.get(0);
    coordinator.receive(first, new Message.Refused(ID, ErrorCode.OVERLOADED));
    coordinator.receive(first, new Message.Refused(ID, ErrorCode.OFFER_UNSEEN));
    assertThat(offeredTo).hasSize(2);
    assertThat(results).isEmpty();
  }

  @Test
  void reportsUnknownOutcomeWhenAgentHasRestarted() {
    submit(null);
    coordinator.linkUp(offeredTo.get(0), 2);
    assertThat(results).containsExactly(SubmissionResult.unknown(ErrorCode.ANSWER_LOST));
  }

  @Test
  void resumesRequestOnNewLink() {
    submit(null);
    coordinator.linkDown(offeredTo.get(0));
    coordinator.linkUp(offeredTo.get(0), 1);
    assertThat(sent).contains(new Message.Resume(ID, 1, now.plusSeconds(10), 0));
  }

  @Test
  void reportsUnknownOutcomeWhenAgentStaysUnreachable() {
    submit(null);
    coordinator.receive(offeredTo.get(0), new Message.Dispatched(ID));
    coordinator.linkDown(offeredTo.get(0));
    // The unreachable timeout is 15 s.
    now = now.plusSeconds(14);
    coordinator.tick();
    assertThat(results).isEmpty();
    now = now.plusSeconds(2);
    coordinator.tick();
    assertThat(results).containsExactly(SubmissionResult.unknown(ErrorCode.ANSWER_LOST));
  }

  @Test
  void movesWaitingRequestToAgentWithFreeSlot() {
    submit(null);
    String first = offeredTo.get(0);
    coordinator.receive(first, new Message.Accepted(ID));
    LoadReport full = new LoadReport(16, 16, 5, 100, 10, 1, Collections.nCopies(8, -5));
    coordinator.receive(first, new Message.Pong(1, 1, full));
    // Exceeds the reoffer delay of 250 ms.
    now = now.plusMillis(300);
    coordinator.tick();
    assertThat(sent).contains(new Message.Withdraw(ID, 1, now.minusMillis(300).plusSeconds(10)));
    coordinator.receive(first, new Message.Refused(ID, ErrorCode.WITHDRAWN));
    assertThat(offeredTo).containsExactly(first, otherAgent());
  }

  @Test
  void keepsRequestAtAgentThatDispatchedItBeforeTheWithdrawal() {
    submit(null);
    // Exceeds the reoffer delay of 250 ms.
    now = now.plusMillis(300);
    coordinator.tick();
    coordinator.receive(offeredTo.get(0), new Message.Dispatched(ID));
    coordinator.receive(offeredTo.get(0), new Message.Head(ID, 200, null));
    coordinator.receive(offeredTo.get(0), new Message.End(ID, 0, Outcome.COMPLETED));
    assertThat(offeredTo).hasSize(1);
    assertThat(results).containsExactly(SubmissionResult.COMPLETED);
  }

  @Test
  void reportsUnknownOutcomeWhenHomeOfKeyStaysUnlinked() {
    IdempotencyKey key = new IdempotencyKey("account", "key", "digest");
    String home = directory.homeOf("pool", key).orElseThrow().name();
    coordinator.linkDown(home);
    submit(key);
    assertThat(offeredTo).isEmpty();
    // Exceeds the latest start, 10 s after the submission.
    now = now.plusSeconds(11);
    coordinator.tick();
    assertThat(results).containsExactly(SubmissionResult.unknown(ErrorCode.KEY_HOME_UNREACHABLE));
  }

  @Test
  void reportsUnknownOutcomeWhenResponseIsTruncated() {
    submit(null);
    coordinator.receive(offeredTo.get(0), new Message.Head(ID, 200, null));
    coordinator.receive(offeredTo.get(0), new Message.Chunk(ID, 0, new byte[3]));
    coordinator.receive(offeredTo.get(0), new Message.End(ID, 4, Outcome.COMPLETED));
    assertThat(results).containsExactly(SubmissionResult.unknown(ErrorCode.ANSWER_LOST));
  }

  /** Records the messages sent and the results of requests. */
  private final class RecordingEffects implements OfferEffects {

    @Override
    public void send(String agent, Message message) {
      sent.add(message);
      if (message instanceof Message.Offer) {
        offeredTo.add(agent);
      }
    }

    @Override
    public void connect(String agent) {}

    @Override
    public void startResponse(RequestId id, int status, @Nullable String contentType) {}

    @Override
    public void continueResponse(RequestId id, byte[] data) {}

    @Override
    public void finish(RequestId id, SubmissionResult result) {
      results.add(result);
    }
  }
}
