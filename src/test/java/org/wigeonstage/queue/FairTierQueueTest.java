package org.wigeonstage.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.Tier;

class FairTierQueueTest {

  private static final Instant START_BY = Instant.ofEpochSecond(100);

  private static WaitingRequest request(String id, String account, int tier) {
    return new WaitingRequest(
        RequestId.of(id), account, Tier.of(tier), new RequestCost(320, 5, 0), START_BY);
  }

  @Test
  void returnsHigherTiersFirst() {
    FairTierQueue queue = new FairTierQueue(3);
    queue.add(request("low", "a", 3));
    queue.add(request("high", "a", 0));
    queue.add(request("middle", "a", 1));
    assertThat(queue.removeAll())
        .extracting(waiting -> waiting.id().value())
        .containsExactly("high", "middle", "low");
  }

  @Test
  void alternatesBetweenAccountsOfSameTier() {
    FairTierQueue queue = new FairTierQueue(4);
    queue.add(request("a1", "a", 1));
    queue.add(request("a2", "a", 1));
    queue.add(request("a3", "a", 1));
    queue.add(request("b1", "b", 1));
    assertThat(queue.removeAll())
        .extracting(waiting -> waiting.id().value())
        .containsExactly("a1", "b1", "a2", "a3");
  }

  @Test
  void displacesNewestRequestOfLowestTierWhenFull() {
    FairTierQueue queue = new FairTierQueue(2);
    queue.add(request("old", "a", 2));
    queue.add(request("new", "a", 2));
    EnqueueResult result = queue.add(request("urgent", "b", 0));
    assertThat(result.displaced()).isEqualTo(request("new", "a", 2));
  }

  @Test
  void refusesRequestNotAboveLowestTierWhenFull() {
    FairTierQueue queue = new FairTierQueue(1);
    queue.add(request("first", "a", 2));
    assertThat(queue.add(request("same", "b", 2)).accepted()).isFalse();
    assertThat(queue.add(request("lower", "b", 3)).accepted()).isFalse();
  }

  @Test
  void sumsWorkOfWaitingRequests() {
    FairTierQueue queue = new FairTierQueue(2);
    queue.add(request("first", "a", 2));
    queue.add(request("second", "a", 2));
    queue.remove(RequestId.of("first"));
    // 320 prompt tokens count as 320 / 32 = 10 output tokens, and 5 output tokens are expected.
    assertThat(queue.work()).isEqualTo(15);
  }

  @Test
  void removesRequestsOnlyAfterTheirLatestStart() {
    FairTierQueue queue = new FairTierQueue(2);
    queue.add(request("first", "a", 2));
    assertThat(queue.removeExpired(START_BY)).isEmpty();
    List<WaitingRequest> expired = queue.removeExpired(START_BY.plusMillis(1));
    assertThat(expired).containsExactly(request("first", "a", 2));
    assertThat(queue.size()).isZero();
  }
}
