package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class PeerLoadSumsTest {

  private final PeerLoadSums sums = new PeerLoadSums();

  @Test
  void addsUpTheLoadsOfPeers() {
    sums.replace(Map.of(), Map.of("a", 2, "b", 1));
    sums.replace(Map.of(), Map.of("a", 3));
    assertThat(sums.runningByServer()).isEqualTo(Map.of("a", 5, "b", 1));
  }

  @Test
  void replacesTheLoadOfOnePeer() {
    Map<String, Integer> first = Map.of("a", 2, "b", 1);
    sums.replace(Map.of(), first);
    sums.replace(Map.of(), Map.of("a", 3));
    sums.replace(first, Map.of("b", 4));
    assertThat(sums.runningByServer()).isEqualTo(Map.of("a", 3, "b", 4));
  }

  @Test
  void forgetsTheLoadOfPeerThatIsNotKnownAnyMore() {
    Map<String, Integer> load = Map.of("a", 2);
    sums.replace(Map.of(), load);
    sums.replace(load, Map.of());
    assertThat(sums.runningByServer()).isEmpty();
  }

  /** Guards against sums that drift from the loads when only the changes of a peer are applied. */
  @Test
  void appliesChangesToTheLoadOfOnePeer() {
    Map<String, Integer> load = Map.of("a", 2, "b", 1);
    sums.replace(Map.of(), load);
    sums.replace(Map.of(), Map.of("a", 3));
    sums.apply(load, Map.of("a", 1, "b", 0, "c", 4));
    assertThat(sums.runningByServer()).isEqualTo(Map.of("a", 4, "c", 4));
  }
}
