package org.wigeonstage.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.wigeonstage.request.Tier;

class AdaptiveDispatchWindowTest {

  private final AdaptiveDispatchWindow window =
      new AdaptiveDispatchWindow(1, 16, 0.1, Duration.ofMillis(34));

  private void observeGaps(int count, long millis) {
    for (int i = 0; i < count; i++) {
      window.observeGap(Duration.ofMillis(millis), window.size());
    }
  }

  @Test
  void shrinksWhenGapsGrowWithLoad() {
    observeGaps(64, 20);
    observeGaps(64, 60);
    assertThat(window.size()).isEqualTo(12);
  }

  @Test
  void shrinksToMinimumWhenEngineStaysSlow() {
    observeGaps(64, 30);
    observeGaps(64 * 30, 300);
    assertThat(window.size()).isEqualTo(1);
  }

  @Test
  void keepsItsSizeWhenGapsOfUnloadedEngineAreLate() {
    for (int i = 0; i < 100; i++) {
      observeGaps(58, 30);
      observeGaps(6, 36);
    }
    assertThat(window.size()).isEqualTo(16);
  }

  @Test
  void growsAgainWhenWindowIsFullAndGapsAreShort() {
    observeGaps(64, 20);
    observeGaps(64, 60);
    observeGaps(64 * 10, 20);
    assertThat(window.size()).isEqualTo(16);
  }

  @Test
  void leavesShareOfWindowFreeForHigherTiers() {
    assertThat(window.hasFreeSlot(Tier.of(0), 15)).isTrue();
    assertThat(window.hasFreeSlot(Tier.of(1), 14)).isFalse();
    assertThat(window.hasFreeSlot(Tier.of(3), 10)).isTrue();
    assertThat(window.hasFreeSlot(Tier.of(3), 11)).isFalse();
  }

  @Test
  void allowsOneRequestOfAnyTier() {
    observeGaps(64, 20);
    observeGaps(64 * 30, 300);
    assertThat(window.hasFreeSlot(Tier.of(3), 0)).isTrue();
  }
}
