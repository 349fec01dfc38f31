package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.wigeonstage.placement.Urgency;

/** Guards against more urgent requests that are rejected before less urgent ones. */
class MemoryAdmissionTest {

  @Test
  void shareFallsWithEachRank() {
    double previous = Double.MAX_VALUE;
    for (int account = 0; account < 6; account++) {
      for (int route = 0; route < 6; route++) {
        double share = MemoryAdmission.shareFor(new Urgency(account, route));
        assertThat(share).isLessThan(previous).isGreaterThan(MemoryAdmission.MIN_SHARE);
        previous = share;
      }
    }
    assertThat(MemoryAdmission.shareFor(new Urgency(0, 0))).isEqualTo(1);
  }
}
