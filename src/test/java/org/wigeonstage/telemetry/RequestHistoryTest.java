package org.wigeonstage.telemetry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RequestHistoryTest {

  @Test
  void returnsTheLinesOfOneRequestInOrderOfTimeAndCountsUnreadableOnes() {
    RequestHistory history = new RequestHistory("r1");
    history.add(
        "2.1 edge-b {\"time\":\"T2\",\"process\":\"b\",\"event\":\"placed\",\"request\":\"r1\",\"server\":\"s\"}");
    history.add("{\"time\":\"T1\",\"process\":\"a\",\"event\":\"accepted\",\"request\":\"r1\"}");
    history.add("{\"time\":\"T1\",\"process\":\"a\",\"event\":\"accepted\",\"request\":\"r2\"}");
    history.add("{\"time\":\"T3\",\"request\":\"r1\"");
    assertThat(history.lines()).containsExactly("T1 a accepted", "T2 b placed server=s");
    assertThat(history.unreadableLines()).isEqualTo(1);
  }
}
