package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class DateHeaderTest {

  @Test
  void formatsTimeAsImfFixdate() {
    assertThat(DateHeader.at(Instant.parse("1994-11-06T08:49:37.9Z")))
        .isEqualTo("Sun, 06 Nov 1994 08:49:37 GMT");
    assertThat(DateHeader.at(Instant.parse("2026-12-14T23:05:00Z")))
        .isEqualTo("Mon, 14 Dec 2026 23:05:00 GMT");
  }
}
