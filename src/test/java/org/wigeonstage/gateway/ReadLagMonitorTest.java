package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReadLagMonitorTest {

  private Duration now = Duration.ofSeconds(10);
  private final Deque<Runnable> pendingBarriers = new ArrayDeque<>();
  private final ReadLagMonitor readLag = new ReadLagMonitor(() -> now);

  private void advanceMillis(int millis) {
    now = now.plusMillis(millis);
  }

  private void recordRequestAndTick() {
    readLag.recordRequest(pendingBarriers::addLast);
    advanceMillis(50);
    readLag.tick();
  }

  @Test
  void estimatesThatRequestsHaveJustArrivedWhileReadingKeepsUp() {
    recordRequestAndTick();
    advanceMillis(5);
    pendingBarriers.removeFirst().run();
    advanceMillis(10);
    assertThat(readLag.isBehind()).isFalse();
    assertThat(readLag.estimatedArrival()).isEqualTo(now);
  }

  @Test
  void isBehindWhileABarrierTakesLongerThanTheMaximumLag() {
    recordRequestAndTick();
    Duration sentAt = now;
    advanceMillis(400);
    assertThat(readLag.isBehind()).isTrue();
    assertThat(readLag.estimatedArrival()).isLessThan(sentAt.plusMillis(201));
    assertThat(readLag.hasReadUpTo(sentAt)).isFalse();
  }

  @Test
  void isBehindUntilABarrierPassesQuickly() {
    recordRequestAndTick();
    Duration sentAt = now;
    advanceMillis(400);
    pendingBarriers.removeFirst().run();
    assertThat(readLag.isBehind()).isTrue();
    assertThat(readLag.hasReadUpTo(sentAt.minusMillis(1))).isTrue();
    assertThat(readLag.hasReadUpTo(sentAt.plusMillis(1))).isFalse();
    advanceMillis(50);
    readLag.tick();
    advanceMillis(3);
    pendingBarriers.removeFirst().run();
    assertThat(readLag.isBehind()).isFalse();
  }

  @Test
  void sendsOneBarrierAtATimeAndNoneWithoutRequests() {
    recordRequestAndTick();
    advanceMillis(100);
    readLag.tick();
    assertThat(pendingBarriers).hasSize(1);
    pendingBarriers.removeFirst().run();
    advanceMillis(2000);
    readLag.tick();
    assertThat(pendingBarriers).isEmpty();
  }

  @Test
  void sendsAnotherBarrierAfterOneWasLost() {
    recordRequestAndTick();
    for (int i = 0; i < 70; i++) {
      readLag.recordRequest(pendingBarriers::addLast);
      advanceMillis(50);
      readLag.tick();
    }
    assertThat(pendingBarriers).hasSize(2);
    pendingBarriers.removeLast().run();
    advanceMillis(200);
    assertThat(readLag.isBehind()).isFalse();
  }

  /**
   * Guards against streams that are cut because their deadlines count from before their arrival.
   */
  @Test
  void timeWithoutRequestsIsNotPartOfTheEstimatedAgeOfARequest() {
    Duration lastIdleTickAt = now;
    for (int i = 0; i < 1000; i++) {
      readLag.tick();
      lastIdleTickAt = now;
      advanceMillis(20);
    }
    readLag.recordRequest(pendingBarriers::addLast);
    advanceMillis(10);
    readLag.tick();
    advanceMillis(60);
    assertThat(readLag.isBehind()).isTrue();
    assertThat(readLag.estimatedArrival()).isBetween(lastIdleTickAt, now);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void timeInWhichTheProcessIsSuspendedIsPartOfTheEstimatedAgeOfARequest(boolean ticksFirst) {
    readLag.tick();
    Duration suspendedAt = now;
    advanceMillis(4000);
    if (ticksFirst) {
      readLag.tick();
    }
    recordRequestAndTick();
    advanceMillis(60);
    assertThat(readLag.estimatedArrival())
        .isBetween(suspendedAt.plusMillis(2000), suspendedAt.plusMillis(2100));
  }

  @Test
  void timeWithoutRequestsIsNotPartOfTheEstimatedAgeIfEachTickIsLate() {
    for (int i = 0; i < 100; i++) {
      advanceMillis(45);
      readLag.tick();
    }
    readLag.recordRequest(pendingBarriers::addLast);
    Duration firstRequestAt = now;
    advanceMillis(45);
    readLag.tick();
    advanceMillis(60);
    assertThat(readLag.estimatedArrival()).isGreaterThan(firstRequestAt.minusMillis(200));
  }

  @Test
  void barrierThatWasTakenForLostDoesNotPassForTheNextOne() {
    recordRequestAndTick();
    Duration firstSentAt = now;
    for (int i = 0; i < 160; i++) {
      readLag.recordRequest(pendingBarriers::addLast);
      advanceMillis(20);
      readLag.tick();
    }
    assertThat(pendingBarriers).hasSize(2);
    pendingBarriers.removeFirst().run();
    assertThat(readLag.hasReadUpTo(firstSentAt.plusMillis(1))).isFalse();
    pendingBarriers.removeFirst().run();
    assertThat(readLag.hasReadUpTo(firstSentAt.plusMillis(1))).isTrue();
  }
}
