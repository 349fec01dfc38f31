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
  private final List<Message> sentMessages = new ArrayList<>();
  private final List<RequestId> dispatchedIds = new ArrayList<>();
  private final List<String> backendCalls = new ArrayList<>();
  private final RequestLedger ledger =
      new RequestLedger(
          "agent-1",
          7,
          LedgerLimits.AGENT_LIMITS,
          new FairTierQueue(2),
          new AdaptiveDispatchWindow(1, 1, 0, Duration.ofMillis(34)),
          () -> now,
          new RecordingEffects());

  private Message.Offer offer(RequestId id, int tier, IdempotencyKey key) {
    HttpCall call = new HttpCall("POST", "/", null, new byte[0]);
    RequestSpec spec =
        new RequestSpec(
            "account", Tier.of(tier), "pool", true, key, RequestCost.SERVICE_CALL, call, null);
    return new Message.Offer(id, 7, now.plusSeconds(10), false, 0, spec);
  }

  private void completeWithResponse(RequestId id, String body) {
    ledger.responseStarted(id, 200, null);
    ledger.responsePartReceived(id, body.getBytes(StandardCharsets.UTF_8));
    ledger.responseEnded(id, Outcome.COMPLETED);
  }

  @Test
  void dispatchesOfferImmediatelyIfWindowHasFreeSlot() {
    ledger.receive(LINK, offer(ID, 0, null));
    assertThat(dispatchedIds).containsExactly(ID);
    assertThat(sentMessages).containsExactly(new Message.Accepted(ID), new Message.Dispatched(ID));
  }

  @Test
  void refusesOfferThatArrivesAfterItsWithdrawal() {
    Message.Offer lateOffer = offer(ID, 0, null);
    ledger.receive(OTHER_LINK, new Message.Withdraw(ID, 7, lateOffer.startBy()));
    ledger.receive(LINK, lateOffer);
    assertThat(dispatchedIds).isEmpty();
    assertThat(sentMessages)
        .containsExactly(
            new Message.Refused(ID, ErrorCode.OFFER_UNSEEN),
            new Message.Refused(ID, ErrorCode.OFFER_UNSEEN));
  }

  @Test
  void repliesDispatchedToWithdrawalOfDispatchedRequest() {
    Message.Offer offer = offer(ID, 0, null);
    ledger.receive(LINK, offer);
    sentMessages.clear();
    ledger.receive(LINK, new Message.Withdraw(ID, 7, offer.startBy()));
    assertThat(sentMessages).containsExactly(new Message.Dispatched(ID));
  }

  @Test
  void reportsUnknownOutcomeIfExecutionMayHaveBeenRemoved() {
    Message.Offer offer = offer(ID, 0, null);
    ledger.receive(LINK, offer);
    completeWithResponse(ID, "done");
    // Exceeds the response retention of 60 s plus the longest transit time of an offer, 304 s
    // (start delay of 300 s plus twice the clock skew of 2 s).
    now = now.plusSeconds(400);
    ledger.tick();
    sentMessages.clear();
    ledger.receive(LINK, new Message.Withdraw(ID, 7, offer.startBy()));
    assertThat(sentMessages)
        .containsExactly(new Message.Rejected(ID, ErrorCode.ANSWER_LOST, Outcome.UNKNOWN));
  }

  @Test
  void secondSubmissionWithSameKeyReceivesFirstResponse() {
    ledger.markKeyHistoryComplete();
    ledger.receive(LINK, offer(ID, 0, KEY));
    completeWithResponse(ID, "done");
    sentMessages.clear();
    ledger.receive(OTHER_LINK, offer(OTHER_ID, 0, KEY));
    assertThat(dispatchedIds).containsExactly(ID);
    assertThat(sentMessages).contains(new Message.End(OTHER_ID, 4, Outcome.COMPLETED));
  }

  @Test
  void rejectsDifferentBodyWithSameKey() {
    ledger.markKeyHistoryComplete();
    ledger.receive(LINK, offer(ID, 0, KEY));
    sentMessages.clear();
    ledger.receive(LINK, offer(OTHER_ID, 0, new IdempotencyKey("account", "key", "other")));
    assertThat(sentMessages)
        .containsExactly(new Message.Rejected(OTHER_ID, ErrorCode.KEY_CONFLICT, Outcome.NOT_RUN));
  }

  @Test
  void rejectsKeyWithoutCreationTimeAfterRestart() {
    ledger.receive(LINK, offer(ID, 0, KEY));
    assertThat(sentMessages)
        .containsExactly(new Message.Rejected(ID, ErrorCode.KEY_HISTORY_LOST, Outcome.UNKNOWN));
  }

  @Test
  void dispatchesKeyCreatedAfterRestart() {
    now = now.plusSeconds(5);
    IdempotencyKey keyWithTime =
        new IdempotencyKey("account", RequestId.create(now).value(), "digest");
    ledger.receive(LINK, offer(ID, 0, keyWithTime));
    assertThat(dispatchedIds).containsExactly(ID);
  }

  private IdempotencyKey createKeyWithHomeAgent1(Instant createdAt) {
    while (true) {
      IdempotencyKey key =
          new IdempotencyKey("account", RequestId.create(createdAt).value(), "digest");
      boolean isHomeAgent1 =
          RendezvousHash.firstChoice(key.claimName(), List.of("agent-1", "agent-2"))
              .equals(Optional.of("agent-1"));
      if (isHomeAgent1) {
        return key;
      }
    }
  }

  @Test
  void rejectsKeyThatMayHaveRunAtFormerHome() {
    ledger.markKeyHistoryComplete();
    ledger.updateMembers(
        List.of("agent-1", "agent-2"), new MemberChange(now.toEpochMilli(), List.of("agent-2")));
    ledger.receive(LINK, offer(ID, 0, createKeyWithHomeAgent1(now.minusSeconds(5))));
    assertThat(sentMessages)
        .containsExactly(new Message.Rejected(ID, ErrorCode.KEY_HISTORY_LOST, Outcome.UNKNOWN));
  }

  @Test
  void dispatchesKeyCreatedAfterMemberChangeWasApplied() {
    ledger.markKeyHistoryComplete();
    ledger.updateMembers(
        List.of("agent-1", "agent-2"), new MemberChange(now.toEpochMilli(), List.of("agent-2")));
    // Exceeds the configuration propagation time of 18 s plus the clock skew of 2 s.
    now = now.plusSeconds(30);
    ledger.receive(LINK, offer(ID, 0, createKeyWithHomeAgent1(now)));
    assertThat(dispatchedIds).containsExactly(ID);
  }

  @Test
  void dispatchesKeyWhoseHomeDidNotChange() {
    ledger.markKeyHistoryComplete();
    IdempotencyKey key = createKeyWithHomeAgent1(now);
    ledger.updateMembers(
        List.of("agent-1", "agent-2"), new MemberChange(now.toEpochMilli(), List.of("agent-1")));
    ledger.receive(LINK, offer(ID, 0, key));
    assertThat(dispatchedIds).containsExactly(ID);
  }

  @Test
  void rejectsNewKeyIfMemberChangeIsUnknownToAgent() {
    ledger.markKeyHistoryComplete();
    Message.Offer offer = offer(ID, 0, KEY);
    ledger.receive(
        LINK, new Message.Offer(ID, 7, offer.startBy(), false, now.toEpochMilli(), offer.spec()));
    assertThat(sentMessages)
        .containsExactly(new Message.Rejected(ID, ErrorCode.KEY_HISTORY_LOST, Outcome.UNKNOWN));
  }

  @Test
  void rejectsKeyWhoseHomeIsAnotherAgent() {
    ledger.markKeyHistoryComplete();
    ledger.updateMembers(List.of("agent-2"), null);
    ledger.receive(LINK, offer(ID, 0, KEY));
    assertThat(sentMessages)
        .containsExactly(new Message.Rejected(ID, ErrorCode.KEY_HOME_MOVED, Outcome.UNKNOWN));
  }

  @Test
  void reportsUnknownOutcomeForKeyedOfferAfterDeadline() {
    ledger.markKeyHistoryComplete();
    Message.Offer lateOffer = offer(ID, 0, KEY);
    now = now.plusSeconds(11);
    ledger.receive(LINK, lateOffer);
    assertThat(sentMessages)
        .containsExactly(new Message.Rejected(ID, ErrorCode.DEADLINE, Outcome.UNKNOWN));
  }

  @Test
  void queuedRequestGetsHighestTierOfItsSubmissions() {
    ledger.markKeyHistoryComplete();
    ledger.receive(LINK, offer(RequestId.of("running"), 0, null));
    ledger.receive(LINK, offer(ID, 3, KEY));
    ledger.receive(LINK, offer(RequestId.of("middle"), 2, null));
    ledger.receive(LINK, offer(OTHER_ID, 1, KEY));
    sentMessages.clear();
    // The queue of 2 is full, so "urgent" displaces the request of the lowest tier, which would be
    // ID if its tier had not been raised.
    ledger.receive(LINK, offer(RequestId.of("urgent"), 1, null));
    assertThat(sentMessages)
        .contains(new Message.Refused(RequestId.of("middle"), ErrorCode.OVERLOADED));
  }

  @Test
  void resumeSendsRemainderOfResponse() {
    Message.Offer offer = offer(ID, 0, null);
    ledger.receive(LINK, offer);
    ledger.responseStarted(ID, 200, null);
    ledger.responsePartReceived(ID, "abc".getBytes(StandardCharsets.UTF_8));
    ledger.linkClosed(LINK);
    sentMessages.clear();
    ledger.receive(OTHER_LINK, new Message.Resume(ID, 7, offer.startBy(), 1));
    // The messages before it are Dispatched and Head.
    Message.Chunk remainder = (Message.Chunk) sentMessages.get(2);
    assertThat(remainder.offset()).isEqualTo(1);
    assertThat(remainder.data()).isEqualTo("bc".getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void pausesReadingWhileEntryDoesNotAcknowledge() {
    ledger.receive(LINK, offer(ID, 0, null));
    ledger.responseStarted(ID, 200, null);
    ledger.responsePartReceived(ID, new byte[256 * 1024]);
    assertThat(backendCalls).containsExactly("pause r-1");
    ledger.receive(LINK, new Message.Acknowledge(ID, 200 * 1024));
    assertThat(backendCalls).containsExactly("pause r-1", "resume r-1");
  }

  @Test
  void timeToFirstPartDoesNotReduceWindow() {
    AdaptiveDispatchWindow window = new AdaptiveDispatchWindow(1, 8, 0, Duration.ofMillis(34));
    RequestLedger ledgerWithLargeWindow =
        new RequestLedger(
            "agent-1",
            7,
            LedgerLimits.AGENT_LIMITS,
            new FairTierQueue(2),
            window,
            () -> now,
            new RecordingEffects());
    for (int i = 0; i < 200; i++) {
      RequestId id = RequestId.of("short-" + i);
      ledgerWithLargeWindow.receive(LINK, offer(id, 0, null));
      now = now.plusMillis(500);
      ledgerWithLargeWindow.responseStarted(id, 200, null);
      ledgerWithLargeWindow.responsePartReceived(id, new byte[1]);
      ledgerWithLargeWindow.responseEnded(id, Outcome.COMPLETED);
    }
    assertThat(window.size()).isEqualTo(8);
  }

  @Test
  void doesNotCancelNonIdempotentRequestWhenCallerDisconnects() {
    ledger.receive(LINK, offer(ID, 0, null));
    ledger.receive(LINK, new Message.Cancel(ID));
    assertThat(backendCalls).isEmpty();
  }

  @Test
  void leaveRefusesQueuedRequestsAndKeepsRunningOnes() {
    ledger.receive(LINK, offer(ID, 0, null));
    ledger.receive(LINK, offer(OTHER_ID, 0, null));
    sentMessages.clear();
    ledger.leave();
    assertThat(sentMessages).containsExactly(new Message.Refused(OTHER_ID, ErrorCode.LEAVING));
    assertThat(ledger.isDrained()).isFalse();
    completeWithResponse(ID, "x");
    ledger.receive(LINK, new Message.Acknowledge(ID, 1));
    assertThat(ledger.isDrained()).isTrue();
  }

  /** Records the messages and backend server calls that the ledger decides on. */
  private final class RecordingEffects implements LedgerEffects {

    @Override
    public void send(LinkId link, Message message) {
      sentMessages.add(message);
    }

    @Override
    public void dispatch(RequestId id, RequestSpec spec, Instant queuedAt) {
      dispatchedIds.add(id);
    }

    @Override
    public void cancel(RequestId id) {
      backendCalls.add("cancel " + id);
    }

    @Override
    public void pauseReading(RequestId id) {
      backendCalls.add("pause " + id);
    }

    @Override
    public void resumeReading(RequestId id) {
      backendCalls.add("resume " + id);
    }
  }
}
