package org.wigeonstage.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.wigeonstage.common.InvalidDocumentException;

class SettingsLoaderTest {

  private static final String ENTRY =
      """
      {"name": "entry-1", "failureDomain": "fd-a", "callers": "127.0.0.1:8080",
       "operators": "127.0.0.1:8081", "platform": "127.0.0.1:7000"}
      """;

  @Test
  void missingSettingsHaveTheirDefaults() {
    EntrySettings settings = SettingsLoader.parseEntry(ENTRY);
    assertThat(settings.routing()).isEqualTo("prefix-affinity");
    assertThat(settings.telemetry()).isEqualTo(TelemetrySettings.DEFAULTS);
  }

  @Test
  void allFaultsAreReportedWithTheirPointers() {
    String faulty = ENTRY.replace("127.0.0.1:8080", "localhost").replace("fd-a", "");
    assertThatThrownBy(() -> SettingsLoader.parseEntry(faulty))
        .isInstanceOfSatisfying(
            InvalidDocumentException.class,
            e ->
                assertThat(e.faults())
                    .extracting(fault -> fault.pointer())
                    .containsExactly("/callers", "/failureDomain"));
  }

  @Test
  void aPortAboveTheRangeIsRejected() {
    assertThatThrownBy(() -> SettingsLoader.parseEntry(ENTRY.replace("8081", "70000")))
        .hasMessageContaining("/operators: port 70000 is above 65535");
  }

  @Test
  void anUnknownSettingIsRejected() {
    assertThatThrownBy(() -> SettingsLoader.parseEntry(ENTRY.replace("}", ", \"rooting\": 1}")))
        .hasMessageContaining("rooting");
  }

  private static final String GATEWAY =
      """
      {"name": "gateway-1", "failureDomain": "fd-a", "callers": "127.0.0.1:8080",
       "readiness": "127.0.0.1:8081", "peers": "127.0.0.1:8082", "metrics": "127.0.0.1:8083",
       "store": "127.0.0.1:7000", "heldPromptParts": ["5c1e"]}
      """;

  @Test
  void partsOfPromptsAreReadAsTexts() {
    GatewaySettings settings = SettingsLoader.parseGateway(GATEWAY);
    assertThat(settings.heldPromptParts()).containsExactly("5c1e");
    assertThat(settings.releasedPromptParts()).isEmpty();
  }

  @Test
  void partsOfPromptsThatAreNoTextsAreRejected() {
    for (String parts : new String[] {"\"5c1e\"", "[1]", "[\"\"]", "null"}) {
      assertThatThrownBy(() -> SettingsLoader.parseGateway(GATEWAY.replace("[\"5c1e\"]", parts)))
          .hasMessageContaining("/heldPromptParts");
    }
  }

  @Test
  void limitsOfFeaturesThatAreNotAskedForHaveNoEffect() {
    GatewaySettings settings =
        SettingsLoader.parseGateway(withSettings("\"features\": [\"drain\"]"));
    assertThat(settings.rollout()).isEmpty();
    assertThat(settings.memoryMegabytes()).isEmpty();
  }

  @Test
  void limitsOfFeaturesThatAreAskedForAreRead() {
    GatewaySettings settings =
        SettingsLoader.parseGateway(
            withSettings("\"features\": [\"rollout\", \"pressure\"], \"memoryMegabytes\": 330"));
    assertThat(settings.rollout()).contains(new RolloutSettings(0.1, 50, 5000));
    assertThat(settings.memoryMegabytes()).hasValue(330);
  }

  @Test
  void impossibleLimitsOfFeaturesAreRejectedWithTheirRange() {
    assertThatThrownBy(
            () ->
                SettingsLoader.parseGateway(
                    withSettings("\"rolloutMaxShare\": 1.5, \"rolloutRollbackMillis\": 0")))
        .hasMessageContaining("/rolloutMaxShare: must be a number from 0.0 to 1.0")
        .hasMessageContaining("/rolloutRollbackMillis: must be a number from 1.0");
  }

  @Test
  void impossibleCostOfCrossingFailureDomainsIsRejectedWithItsRange() {
    assertThat(SettingsLoader.parseGateway(GATEWAY).crossingCost()).isZero();
    assertThatThrownBy(
            () -> SettingsLoader.parseGateway(withSettings("\"crossingCostMillis\": -1")))
        .hasMessageContaining("/crossingCostMillis: must be a number from 0.0 to 10000.0");
  }

  private static String withSettings(String settings) {
    return GATEWAY.replace("\"heldPromptParts\": [\"5c1e\"]", settings);
  }
}
