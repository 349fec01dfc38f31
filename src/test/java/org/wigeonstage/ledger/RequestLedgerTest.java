package org.wigeonstage.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.handover.Message;
import org.wigeonstage.queue.AdaptiveDispatchWindow;
import org.wigeonstage.queue.FairTierQueue;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.MemberChange;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.request.Tier;
import org.wigeonstage.routing.RendezvousHash;

class RequestLedgerTest {

  private static final LinkId LINK = LinkId.of(1);
  private static final LinkId OTHER_LINK = LinkId.of(2);
  private static final RequestId ID = RequestId.of("r-1");
  private static final RequestId OTHER_ID = RequestId.of("r-2");
  private static final IdempotencyKey KEY = new IdempotencyKey("account", "key", "digest");

  private Instant now = Instant.parse("2026-01-01T00:00:00Z");
  private final List<Message> sent = new ArrayList<>();
  private final List<RequestId> dispatched = new ArrayList<>();
  private final List<String> calls = new ArrayList<>();
  private final RequestLedger ledger =
      new RequestLedger(
          "agent-1",
          7,
          LedgerLimits.DEFAULTS,
          new FairTierQueue(2),
          new AdaptiveDispatchWindow(1, 1, 0, Duration.ofMillis(34)),
          () -> now,
          new Recorder());

  private Message.Offer offer(RequestId id, int tier, IdempotencyKey key) {
    HttpCall call = new HttpCall("POST", "/", null, new byte[0]);
    RequestSpec spec =
        new RequestSpec(
            "account", Tier.of(tier), "pool", true, key, RequestCost.SERVICE_CALL, call, null);
    return new Message.Offer(id, 7, now.plusSeconds(10), false, 0, spec);
  }

  private void answer(RequestId id, String text) {
    ledger.responseStarted(id, 200, null);
    ledger.responsePartReceived(id, text.getBytes(StandardCharsets.UTF_8));
    ledger.responseEnded(id, Outcome.COMPLETED);
  }

  @Test
  void anOfferIsDispatchedAtOnceWhereThereIsRoom() {
    ledger.receive(LINK, offer(ID, 0, null));
    assertThat(dispatched).containsExactly(ID);
    assertThat(sent).containsExactly(new Message.Accepted(ID), new Message.Dispatched(ID));
  }

  @Test
  void anOfferBehindItsWithdrawalIsRefused() {
    Message.Offer late = offer(ID, 0, null);
    ledger.receive(OTHER_LINK, new Message.Withdraw(ID, 7, late.startBy()));
    ledger.receive(LINK, late);
    assertThat(dispatched).isEmpty();
    assertThat(sent)
        .containsExactly(
            new Message.Refused(ID, ErrorCode.OFFER_UNSEEN),
            new Message.Refused(ID, ErrorCode.OFFER_UNSEEN));
  }

  @Test
  void aDispatchedRequestIsNotWithdrawn() {
    Message.Offer offer = offer(ID, 0, null);
    ledger.receive(LINK, offer);
    sent.clear();
    ledger.receive(LINK, new Message.Withdraw(ID, 7, offer.startBy()));
    assertThat(sent).containsExactly(new Message.Dispatched(ID));
  }

  @Test
  void aRequestThatMayHaveBeenForgottenIsNotCalledUnseen() {
    Message.Offer offer = offer(ID, 0, null);
    ledger.receive(LINK, offer);
    answer(ID, "done");
    now = now.plusSeconds(400);
    ledger.tick();
    sent.clear();
    ledger.receive(LINK, new Message.Withdraw(ID, 7, offer.startBy()));
    assertThat(sent)
        .containsExactly(new Message.Rejected(ID, ErrorCode.ANSWER_LOST, Outcome.UNKNOWN));
  }

  @Test
  void aSecondSubmissionUnderAKeyGetsTheFirstAnswer() {
    ledger.markKeyHistoryComplete();
    ledger.receive(LINK, offer(ID, 0, KEY));
    answer(ID, "done");
    sent.clear();
    ledger.receive(OTHER_LINK, offer(OTHER_ID, 0, KEY));
    assertThat(dispatched).containsExactly(ID);
    assertThat(sent).contains(new Message.End(OTHER_ID, 4, Outcome.COMPLETED));
  }

  @Test
  void anotherBodyUnderAKeyIsRefused() {
    ledger.markKeyHistoryComplete();
    ledger.receive(LINK, offer(ID, 0, KEY));
    sent.clear();
    ledger.receive(LINK, offer(OTHER_ID, 0, new IdempotencyKey("account", "key", "other")));
    assertThat(sent)
        .containsExactly(new Message.Rejected(OTHER_ID, ErrorCode.KEY_CONFLICT, Outcome.NOT_RUN));
  }

  @Test
  void aRestartedAgentDoesNotTakeAnUndatedKeyForNew() {
    ledger.receive(LINK, offer(ID, 0, KEY));
    assertThat(sent)
        .containsExactly(new Message.Rejected(ID, ErrorCode.KEY_HISTORY_LOST, Outcome.UNKNOWN));
  }

  @Test
  void aRestartedAgentTakesAKeyThatWasMadeAfterItsStartForNew() {
    now = now.plusSeconds(5);
    IdempotencyKey dated = new IdempotencyKey("account", RequestId.create(now).value(), "digest");
    ledger.receive(LINK, offer(ID, 0, dated));
    assertThat(dispatched).containsExactly(ID);
  }

  private IdempotencyKey keyHomedAtAgent1(Instant created) {
    while (true) {
      IdempotencyKey key =
          new IdempotencyKey("account", RequestId.create(created).value(), "digest");
      boolean isHere =
          RendezvousHash.firstChoice(key.claimName(), List.of("agent-1", "agent-2"))
              .equals(Optional.of("agent-1"));
      if (isHere) {
        return key;
      }
    }
  }

  @Test
  void aKeyThatMayHaveRunAtItsFormerHomeIsNotTakenForNew() {
    ledger.markKeyHistoryComplete();
    ledger.updateMembers(
        List.of("agent-1", "agent-2"), new MemberChange(now.toEpochMilli(), List.of("agent-2")));
    ledger.receive(LINK, offer(ID, 0, keyHomedAtAgent1(now.minusSeconds(5))));
    assertThat(sent)
        .containsExactly(new Message.Rejected(ID, ErrorCode.KEY_HISTORY_LOST, Outcome.UNKNOWN));
  }

  @Test
  void aKeyMadeAfterTheMembersChangedEverywhereIsNew() {
    ledger.markKeyHistoryComplete();
    ledger.updateMembers(
        List.of("agent-1", "agent-2"), new MemberChange(now.toEpochMilli(), List.of("agent-2")));
    now = now.plusSeconds(30);
    ledger.receive(LINK, offer(ID, 0, keyHomedAtAgent1(now)));
    assertThat(dispatched).containsExactly(ID);
  }

  @Test
  void aKeyThatStayedAtItsHomeIsStillKnown() {
    ledger.markKeyHistoryComplete();
    IdempotencyKey key = keyHomedAtAgent1(now);
    ledger.updateMembers(
        List.of("agent-1", "agent-2"), new MemberChange(now.toEpochMilli(), List.of("agent-1")));
    ledger.receive(LINK, offer(ID, 0, key));
    assertThat(dispatched).containsExactly(ID);
  }

  @Test
  void anAgentThatDoesNotKnowOfTheLastChangeDecidesAboutNoNewKey() {
    ledger.markKeyHistoryComplete();
    Message.Offer known = offer(ID, 0, KEY);
    ledger.receive(
        LINK, new Message.Offer(ID, 7, known.startBy(), false, now.toEpochMilli(), known.spec()));
    assertThat(sent)
        .containsExactly(new Message.Rejected(ID, ErrorCode.KEY_HISTORY_LOST, Outcome.UNKNOWN));
  }

  @Test
  void aKeyOfAnotherHomeIsRejected() {
    ledger.markKeyHistoryComplete();
    ledger.updateMembers(List.of("agent-2"), null);
    ledger.receive(LINK, offer(ID, 0, KEY));
    assertThat(sent)
        .containsExactly(new Message.Rejected(ID, ErrorCode.KEY_HOME_MOVED, Outcome.UNKNOWN));
  }

  @Test
  void aLateKeyedOfferIsNotSaidNotToHaveRun() {
    ledger.markKeyHistoryComplete();
    Message.Offer late = offer(ID, 0, KEY);
    now = now.plusSeconds(11);
    ledger.receive(LINK, late);
    assertThat(sent).containsExactly(new Message.Rejected(ID, ErrorCode.DEADLINE, Outcome.UNKNOWN));
  }

  @Test
  void aWaitingRequestTakesTheHighestTierOfItsSubmissions() {
    ledger.markKeyHistoryComplete();
    ledger.receive(LINK, offer(RequestId.of("running"), 0, null));
    ledger.receive(LINK, offer(ID, 3, KEY));
    ledger.receive(LINK, offer(RequestId.of("middle"), 2, null));
    ledger.receive(LINK, offer(OTHER_ID, 1, KEY));
    sent.clear();
    ledger.receive(LINK, offer(RequestId.of("urgent"), 1, null));
    assertThat(sent).contains(new Message.Refused(RequestId.of("middle"), ErrorCode.OVERLOADED));
  }

  @Test
  void aResumedRequestGetsTheRestOfItsAnswer() {
    Message.Offer offer = offer(ID, 0, null);
    ledger.receive(LINK, offer);
    ledger.responseStarted(ID, 200, null);
    ledger.responsePartReceived(ID, "abc".getBytes(StandardCharsets.UTF_8));
    ledger.linkClosed(LINK);
    sent.clear();
    ledger.receive(OTHER_LINK, new Message.Resume(ID, 7, offer.startBy(), 1));
    Message.Chunk rest = (Message.Chunk) sent.get(2);
    assertThat(rest.offset()).isEqualTo(1);
    assertThat(rest.data()).isEqualTo("bc".getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void aSlowEntryStopsReadingFromTheBackendServer() {
    ledger.receive(LINK, offer(ID, 0, null));
    ledger.responseStarted(ID, 200, null);
    ledger.responsePartReceived(ID, new byte[256 * 1024]);
    assertThat(calls).containsExactly("pause r-1");
    ledger.receive(LINK, new Message.Acknowledge(ID, 200 * 1024));
    assertThat(calls).containsExactly("pause r-1", "resume r-1");
  }

  @Test
  void theTimeToTheFirstPartDoesNotShrinkTheWindow() {
    AdaptiveDispatchWindow window = new AdaptiveDispatchWindow(1, 8, 0, Duration.ofMillis(34));
    RequestLedger wide =
        new RequestLedger(
            "agent-1",
            7,
            LedgerLimits.DEFAULTS,
            new FairTierQueue(2),
            window,
            () -> now,
            new Recorder());
    for (int i = 0; i < 200; i++) {
      RequestId id = RequestId.of("short-" + i);
      wide.receive(LINK, offer(id, 0, null));
      now = now.plusMillis(500);
      wide.responseStarted(id, 200, null);
      wide.responsePartReceived(id, new byte[1]);
      wide.responseEnded(id, Outcome.COMPLETED);
    }
    assertThat(window.size()).isEqualTo(8);
  }

  @Test
  void aNonIdempotentRequestIsNotCancelledWhenItsCallerGoes() {
    ledger.receive(LINK, offer(ID, 0, null));
    ledger.receive(LINK, new Message.Cancel(ID));
    assertThat(calls).isEmpty();
  }

  @Test
  void leavingGivesBackWhatWaitsAndKeepsWhatRuns() {
    ledger.receive(LINK, offer(ID, 0, null));
    ledger.receive(LINK, offer(OTHER_ID, 0, null));
    sent.clear();
    ledger.leave();
    assertThat(sent).containsExactly(new Message.Refused(OTHER_ID, ErrorCode.LEAVING));
    assertThat(ledger.isDrained()).isFalse();
    answer(ID, "x");
    ledger.receive(LINK, new Message.Acknowledge(ID, 1));
    assertThat(ledger.isDrained()).isTrue();
  }

  /** Records what the ledger causes. */
  private final class Recorder implements LedgerEffects {

    @Override
    public void send(LinkId link, Message message) {
      sent.add(message);
    }

    @Override
    public void dispatch(RequestId id, RequestSpec spec, Instant queuedAt) {
      dispatched.add(id);
    }

    @Override
    public void cancel(RequestId id) {
      calls.add("cancel " + id);
    }

    @Override
    public void pauseReading(RequestId id) {
      calls.add("pause " + id);
    }

    @Override
    public void resumeReading(RequestId id) {
      calls.add("resume " + id);
    }
  }
}
