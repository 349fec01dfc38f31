package org.wigeonstage.common;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonTest {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{}",
        "[]",
        "{\"a\":{\"b\":[1,2.5,-3e7,true,false,null,\"x\\u00e9\\n\\\"\"]},\"a b\":\"\"}",
        "[2147483647,2147483648,-9223372036854775808,123456789012345678901234567890]",
        "{\"same\":1,\"same\":2}",
        "\"text\"",
        "  7 ",
        "null"
      })
  void readsAndWritesTreesLikeTheObjectMapper(String text) throws Exception {
    assertThat(Json.parse(text)).isEqualTo(MAPPER.readTree(text));
    assertThat(Json.write(Json.parse(text)))
        .isEqualTo(MAPPER.writeValueAsString(MAPPER.readTree(text)));
  }

  @Test
  void parsesEmptyTextAsMissingNode() {
    assertThat(Json.parse("").isMissingNode()).isTrue();
  }

  @ParameterizedTest
  @ValueSource(strings = {"{", "[1,", "{\"a\"}", "{} {}", "[1] x", "tru", "{\"a\":}", "]"})
  void rejectsInvalidJson(String text) {
    assertThatThrownBy(() -> Json.parse(text))
        .isInstanceOf(WigeonstageException.class)
        .hasMessageContaining("not valid JSON");
  }

  @Test
  void writesCollectionsAndSimpleValuesLikeTheObjectMapper() throws Exception {
    Map<String, Object> value = new LinkedHashMap<>();
    value.put("text", "line\nof \"text\"");
    value.put("numbers", Arrays.asList(1, 2L, 2.5, null));
    value.put("flag", true);
    value.put("code", ErrorCode.INTERNAL);
    value.put("nested", Map.of("tree", Json.parse("{\"a\":[1]}")));
    assertThat(Json.write(value)).isEqualTo(MAPPER.writeValueAsString(value));
  }

  @Test
  void writesOtherTypesWithTheObjectMapper() {
    record Point(int x, int y) {}
    assertThat(Json.write(List.of(new Point(1, 2)))).isEqualTo("[{\"x\":1,\"y\":2}]");
    assertThatThrownBy(() -> Json.write(Map.of("time", Duration.ZERO)))
        .isInstanceOf(WigeonstageException.class);
  }
}
