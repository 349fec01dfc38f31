package org.wigeonstage.telemetry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RequestStoryTest {

  @Test
  void tellsTheLinesOfOneRequestInOrderOfTime() {
    RequestStory story = new RequestStory("r1");
    story.add(
        "2.1 edge-b {\"time\":\"T2\",\"process\":\"b\",\"event\":\"placed\",\"request\":\"r1\",\"server\":\"s\"}");
    story.add("{\"time\":\"T1\",\"process\":\"a\",\"event\":\"accepted\",\"request\":\"r1\"}");
    story.add("{\"time\":\"T1\",\"process\":\"a\",\"event\":\"accepted\",\"request\":\"r2\"}");
    story.add("{\"time\":\"T3\",\"request\":\"r1\"");
    assertThat(story.tell()).containsExactly("T1 a accepted", "T2 b placed server=s");
    assertThat(story.unreadable()).isEqualTo(1);
  }
}
