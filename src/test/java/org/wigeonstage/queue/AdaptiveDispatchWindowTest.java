package org.wigeonstage.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.wigeonstage.request.Tier;

class AdaptiveDispatchWindowTest {

  private final AdaptiveDispatchWindow window =
      new AdaptiveDispatchWindow(1, 16, 0.1, Duration.ofMillis(34));

  private void observe(int count, long millis) {
    for (int i = 0; i < count; i++) {
      window.observeGap(Duration.ofMillis(millis), window.size());
    }
  }

  @Test
  void gapsThatGrowWithTheLoadShrinkTheWindow() {
    observe(64, 20);
    observe(64, 60);
    assertThat(window.size()).isEqualTo(12);
  }

  @Test
  void anEngineThatSlowsDownShrinksTheWindowToItsMinimum() {
    observe(64, 30);
    observe(64 * 30, 300);
    assertThat(window.size()).isEqualTo(1);
  }

  @Test
  void lateGapsOfAnUnloadedEngineDoNotShrinkTheWindow() {
    for (int i = 0; i < 100; i++) {
      observe(58, 30);
      observe(6, 36);
    }
    assertThat(window.size()).isEqualTo(16);
  }

  @Test
  void aFullWindowGrowsAgainWhenGapsAreShort() {
    observe(64, 20);
    observe(64, 60);
    observe(64 * 10, 20);
    assertThat(window.size()).isEqualTo(16);
  }

  @Test
  void eachTierLeavesAShareToThoseAboveIt() {
    assertThat(window.hasRoom(Tier.of(0), 15)).isTrue();
    assertThat(window.hasRoom(Tier.of(1), 14)).isFalse();
    assertThat(window.hasRoom(Tier.of(3), 10)).isTrue();
    assertThat(window.hasRoom(Tier.of(3), 11)).isFalse();
  }

  @Test
  void everyTierMayRunOneRequest() {
    observe(64, 20);
    observe(64 * 30, 300);
    assertThat(window.hasRoom(Tier.of(3), 0)).isTrue();
  }
}
