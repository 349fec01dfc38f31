package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;

class ReadLagMonitorTest {

  private Duration now = Duration.ofSeconds(10);
  private final Deque<Runnable> barriers = new ArrayDeque<>();
  private final ReadLagMonitor lag = new ReadLagMonitor(() -> now);

  private void pass(int millis) {
    now = now.plusMillis(millis);
  }

  private void readAndTick() {
    lag.read(barriers::addLast);
    pass(50);
    lag.tick();
  }

  @Test
  void takesRequestsAsJustArrivedWhileReadingKeepsUp() {
    readAndTick();
    pass(5);
    barriers.removeFirst().run();
    pass(10);
    assertThat(lag.isBehind()).isFalse();
    assertThat(lag.arrivalTime()).isEqualTo(now);
  }

  @Test
  void isBehindWhileABarrierHasNotPassed() {
    readAndTick();
    Duration asked = now;
    pass(400);
    assertThat(lag.isBehind()).isTrue();
    assertThat(lag.arrivalTime()).isLessThan(asked.plusMillis(201));
    assertThat(lag.isCaughtUpTo(asked)).isFalse();
  }

  @Test
  void isBehindUntilABarrierPassesFast() {
    readAndTick();
    Duration asked = now;
    pass(400);
    barriers.removeFirst().run();
    assertThat(lag.isBehind()).isTrue();
    assertThat(lag.isCaughtUpTo(asked.minusMillis(1))).isTrue();
    assertThat(lag.isCaughtUpTo(asked.plusMillis(1))).isFalse();
    pass(50);
    lag.tick();
    pass(3);
    barriers.removeFirst().run();
    assertThat(lag.isBehind()).isFalse();
  }

  @Test
  void passesOneBarrierAtATimeAndNoneWithoutRequests() {
    readAndTick();
    pass(100);
    lag.tick();
    assertThat(barriers).hasSize(1);
    barriers.removeFirst().run();
    pass(2000);
    lag.tick();
    assertThat(barriers).isEmpty();
  }

  @Test
  void passesAnotherBarrierWhereOneWasLost() {
    readAndTick();
    for (int i = 0; i < 70; i++) {
      lag.read(barriers::addLast);
      pass(50);
      lag.tick();
    }
    assertThat(barriers).hasSize(2);
    barriers.removeLast().run();
    pass(200);
    assertThat(lag.isBehind()).isFalse();
  }
}
