package org.wigeonstage.common;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WholeNumberTest {

  @Test
  void parsesUpTo18Digits() {
    assertThat(WholeNumber.parse("0")).hasValue(0);
    assertThat(WholeNumber.parse("007")).hasValue(7);
    assertThat(WholeNumber.parse("999999999999999999")).hasValue(999999999999999999L);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", " ", "-1", "+1", "1.5", "12a", "\u0661", "1000000000000000000"})
  void returnsEmptyForAnythingButOneTo18Digits(String text) {
    assertThat(WholeNumber.parse(text)).isEmpty();
  }
}
