package org.wigeonstage.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.common.WigeonstageException;

class StorePageTest {

  private static final String OBJECT =
      "{\"metadata\": {\"name\": \"%s\", \"revision\": 5}, \"spec\": {\"a\": [1, \"}\", {}]}}";

  /** Characters that mutations insert, most of them with a meaning in JSON. */
  private static final String INSERTED = "{}[]\",:\\0e-. \u0000\u00ff";

  private static String object(String name) {
    return OBJECT.formatted(name);
  }

  private static byte[] page(String... entries) {
    String text = "{\"entries\": [" + String.join(", ", entries) + "], \"at\": 9}";
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static List<String> namesOf(byte[] page) {
    return StorePage.decode(ObjectKind.SERVERS, page, 0, KnownObjects.NONE).objects().stream()
        .map(StoreObject::name)
        .toList();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "17",
        "[]",
        "\"text\"",
        "nonsense",
        "{}",
        "{\"metadata\": 3, \"spec\": {}}",
        "{\"metadata\": {\"name\": 3}, \"spec\": {}}",
        "{\"metadata\": {\"name\": \"\"}, \"spec\": {}}",
        "{\"metadata\": {\"name\": \"\u00ff\"}, \"spec\": {}}",
        "{\"metadata\": {\"name\": \"x\", \"revision\": 0123}, \"spec\": {}}",
        "{17: 4}",
        "{\"metadata\"}"
      })
  void entriesWithoutAReadableNameAreLeftOut(String odd) {
    assertThat(namesOf(page(object("a"), odd, object("b")))).containsExactly("a", "b");
  }

  @Test
  void bytesThatAreNotUtf8MakeOnlyTheirEntryUnreadable() {
    String odd = "{\"metadata\": {\"name\": \"x\"}, \"spec\": {\"zone\": \"\u00ff\u00fe\"}}";
    StorePage page =
        StorePage.decode(
            ObjectKind.SERVERS, page(object("a"), odd, object("b")), 0, KnownObjects.NONE);
    assertThat(page.objects())
        .extracting(object -> object.spec().isObject())
        .containsExactly(true, false, true);
  }

  @Test
  void theLastOfSeveralFieldsWithOneNameCounts() {
    String repeated =
        "{\"metadata\": {\"name\": \"x\"}, \"metadata\": {\"name\": \"y\"}, \"spec\": {}}";
    assertThat(namesOf(page(repeated))).containsExactly("y");
  }

  @Test
  void aTruncatedPageIsNotRead() {
    byte[] page = page(object("a"), object("b"));
    for (int length = 0; length < page.length; length++) {
      byte[] truncated = java.util.Arrays.copyOf(page, length);
      assertThatThrownBy(
              () -> StorePage.decode(ObjectKind.SERVERS, truncated, 0, KnownObjects.NONE))
          .isInstanceOf(WigeonstageException.class);
    }
  }

  /** Guards against large entries that are decoded again with each list although unchanged. */
  @Test
  void objectsOfTheSameEraAndRevisionAreNotDecodedAgain() {
    StoreObject known =
        StorePage.decode(ObjectKind.SERVERS, page(object("a")), 2, KnownObjects.NONE)
            .objects()
            .get(0);
    KnownObjects before = new KnownObjects(2, Map.of("a", known));
    byte[] unchanged = page(object("a"));
    byte[] changed = page(object("a").replace("5", "6"));
    assertThat(first(unchanged, 2, before)).isSameAs(known);
    assertThat(first(changed, 2, before)).isNotSameAs(known);
    assertThat(first(unchanged, 3, before)).isNotSameAs(known);
    assertThat(first(unchanged, 0, new KnownObjects(0, Map.of("a", known)))).isNotSameAs(known);
  }

  private static StoreObject first(byte[] page, long era, KnownObjects known) {
    return StorePage.decode(ObjectKind.SERVERS, page, era, known).objects().get(0);
  }

  @Test
  void aPageWithoutRevisionIsNotRead() {
    byte[] page = "{\"entries\": []}".getBytes(StandardCharsets.UTF_8);
    assertThatThrownBy(() -> StorePage.decode(ObjectKind.SERVERS, page, 0, KnownObjects.NONE))
        .isInstanceOf(WigeonstageException.class);
  }

  @Property(tries = 2000)
  void mutatedPagesAreReadOrReported(@ForAll long seed) {
    Random random = new Random(seed);
    byte[] page = page(object("a"), object("b"), object("c"));
    for (int i = random.nextInt(4); i >= 0; i--) {
      page[random.nextInt(page.length)] = (byte) INSERTED.charAt(random.nextInt(INSERTED.length()));
    }
    try {
      StorePage.decode(ObjectKind.SERVERS, page, 0, KnownObjects.NONE)
          .objects()
          .forEach(object -> assertThat(object.name()).isNotEmpty());
    } catch (WigeonstageException e) {
      assertThat(e).hasMessageNotContaining("INTERNAL");
    }
  }

  /** The store sends values whose brackets and quotes match; everything else may be odd. */
  @Property(tries = 2000)
  void soundEntriesSurviveAMutatedValueBesideThem(@ForAll long seed) {
    Random random = new Random(seed);
    String odd = "{\"metadata\": {\"name\": \"x\"}, \"spec\": " + randomValue(random, 0) + "}";
    assertThat(namesOf(page(object("a"), odd, object("b")))).contains("a", "b");
  }

  private static String randomValue(Random random, int depth) {
    return switch (random.nextInt(depth > 6 ? 4 : 6)) {
      case 0 -> "\"" + "\u00ff\\\"x".repeat(random.nextInt(3)) + "\"";
      case 1 -> "-" + "9".repeat(random.nextInt(200)) + "e" + random.nextInt(10_000);
      case 2 -> "x".repeat(1 + random.nextInt(3));
      case 3 -> "\u0000";
      case 4 -> "[" + randomValue(random, depth + 1) + "," + randomValue(random, depth + 1) + "]";
      default -> "{\"k\":" + randomValue(random, depth + 1) + "}";
    };
  }
}
