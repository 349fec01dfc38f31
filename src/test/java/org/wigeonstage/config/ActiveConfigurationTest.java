package org.wigeonstage.config;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.wigeonstage.common.Json;

class ActiveConfigurationTest {

  /** Invalid, because a document must have a tier. */
  private static final String WITHOUT_TIERS = Json.write(ConfigurationDocument.EMPTY);

  private static final String VALID =
      "{\"tiers\":[{\"name\":\"t\",\"startWithinMillis\":1,\"finishWithinMillis\":2}],"
          + "\"accounts\":[],\"pools\":[],\"rules\":[]}";

  private final ActiveConfiguration configuration = new ActiveConfiguration();

  @Test
  void aLowerOrEqualVersionDoesNotComeIntoForce() {
    configuration.applyIfNewer(5, VALID);
    assertThat(configuration.applyIfNewer(4, VALID)).isFalse();
    assertThat(configuration.applyIfNewer(5, VALID)).isFalse();
    assertThat(configuration.current().version()).isEqualTo(5);
  }

  @Test
  void aFaultyDocumentDoesNotComeIntoForce() {
    configuration.applyIfNewer(5, VALID);
    assertThat(configuration.applyIfNewer(6, WITHOUT_TIERS)).isFalse();
    assertThat(configuration.current().version()).isEqualTo(5);
  }
}
