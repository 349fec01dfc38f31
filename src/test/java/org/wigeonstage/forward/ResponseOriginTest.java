package org.wigeonstage.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ResponseOriginTest {

  @ParameterizedTest
  @CsvSource({
    "r1, r1, true, true",
    "r1, r1, false, true",
    "r1, r2, true, false",
    "r1, r2, false, false",
    "r1, , true, true",
    "r1, , false, false",
    "'', , true, true",
    "'', r2, true, false"
  })
  void responseBelongsToTheRequestWithItsIdOrToTheFirstOnItsConnection(
      String requestId, String responseId, boolean isFirstOnConnection, boolean belongs) {
    assertThat(
            ResponseOrigin.belongsTo(
                requestId, Optional.ofNullable(responseId), isFirstOnConnection))
        .isEqualTo(belongs);
  }
}
