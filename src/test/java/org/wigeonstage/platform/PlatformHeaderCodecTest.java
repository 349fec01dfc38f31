package org.wigeonstage.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeonstage.forward.AttemptFields;
import org.wigeonstage.forward.RequestFields;
import org.wigeonstage.forward.ResponseFields;
import org.wigeonstage.request.HeaderFields;

class PlatformHeaderCodecTest {

  private final PlatformHeaderCodec codec = new PlatformHeaderCodec();

  private static HeaderFields request() {
    return HeaderFields.NONE
        .with("Host", "a.example")
        .with("Attempt-Id", "9c41")
        .with("Last-Event-Id", "12")
        .with("Model", "m")
        .with("Token-Count", "1460,80")
        .with("Length-Hint", "31")
        .with("Prompt-Prefix", "5c1e:800,91bd:410,e440:250")
        .with("Deadline-Ms", "15000")
        .with("Credential", "secret")
        .with("Tenant", "forged")
        .with("Hold", "forged")
        .with("kv-from", "forged")
        .with("Connection", "X-Private, keep-alive")
        .with("X-Private", "1")
        .with("X-Public", "2");
  }

  @Test
  void decodesTheFieldsOfACallersRequest() {
    RequestFields fields = codec.decodeRequest(request());
    assertThat(fields.requestId()).isEqualTo("9c41");
    assertThat(fields.timeLimit()).contains(Duration.ofSeconds(15));
    assertThat(fields.apiKey()).contains("secret");
    assertThat(fields.promptTokens()).isEqualTo(1460);
    assertThat(fields.maxOutputTokens()).isEqualTo(80);
    assertThat(fields.expectedOutputTokens()).isEqualTo(31);
    assertThat(fields.declaredTokens()).isEqualTo(1540);
    assertThat(fields.sharedPromptParts()).containsExactly("5c1e", "91bd");
    assertThat(fields.lastEventId()).hasValue(12);
  }

  private List<String> sharedPartsOf(String parts) {
    return codec.decodeRequest(HeaderFields.NONE.with("Prompt-Prefix", parts)).sharedPromptParts();
  }

  @Test
  void sharedPartsOfAPromptAreAllButItsLast() {
    assertThat(sharedPartsOf("a:1")).isEmpty();
    assertThat(sharedPartsOf("a:1, b:2 ,c:3")).containsExactly("a", "b");
    assertThat(sharedPartsOf("a:1,a:1,b:2")).containsExactly("a");
    assertThat(sharedPartsOf("a:1,,:4,x,b:2")).containsExactly("a");
    assertThat(codec.decodeRequest(HeaderFields.NONE).sharedPromptParts()).isEmpty();
  }

  @Test
  void longIdsOfPartsAreShortenedWithoutBecomingEqual() {
    String prefix = "a".repeat(1000);
    List<String> parts = sharedPartsOf(prefix + "1:1," + prefix + "2:1,c:1");
    assertThat(parts).hasSize(2).doesNotHaveDuplicates().allMatch(part -> part.length() <= 64);
  }

  @Test
  void setsReservedFieldsAndRemovesThemFromCallersRequests() {
    HeaderFields sent =
        codec.encodeRequest(
            codec.decodeRequest(request()),
            new AttemptFields(
                "i-1", Duration.ofMillis(900), Optional.of("shop"), OptionalLong.of(14)));
    assertThat(sent.first("Attempt-Id")).contains("9c41");
    assertThat(sent.first("Model")).contains("m");
    assertThat(sent.first("Token-Count")).contains("1460,80");
    assertThat(sent.first("Prompt-Prefix")).contains("5c1e:800,91bd:410,e440:250");
    assertThat(sent.first("Deadline-Ms")).contains("900");
    assertThat(sent.first("Target-Instance")).contains("i-1");
    assertThat(sent.first("Tenant")).contains("shop");
    assertThat(sent.count("Tenant")).isEqualTo(1);
    assertThat(sent.first("Last-Event-Id")).contains("14");
    assertThat(sent.first("X-Public")).contains("2");
    for (String dropped : new String[] {"Credential", "Hold", "Kv-From", "X-Private", "Host"}) {
      assertThat(sent.first(dropped)).isEmpty();
    }
  }

  @Test
  void ignoresMalformedNumbers() {
    RequestFields fields =
        codec.decodeRequest(
            HeaderFields.NONE.with("Token-Count", "12,x").with("Deadline-Ms", "-4"));
    assertThat(fields.declaredTokens()).isEqualTo(-1);
    assertThat(fields.timeLimit()).isEmpty();
    assertThat(fields.requestId()).isEmpty();
  }

  @Test
  void decodesTheFieldsOfABackendServersResponse() {
    ResponseFields fields =
        codec.decodeResponse(
            HeaderFields.NONE
                .with("Attempt-Id", "9c41")
                .with("Response-Signature", "s")
                .with("Connection", "Close")
                .with("Content-Length", "3")
                .with("X-Kept", "1"));
    assertThat(fields.requestId()).contains("9c41");
    assertThat(fields.isSigned()).isTrue();
    assertThat(fields.declaresNotRun()).isFalse();
    assertThat(fields.closesConnection()).isTrue();
    assertThat(fields.forwardedFields().first("X-Kept")).contains("1");
    assertThat(fields.forwardedFields().first("Response-Signature")).contains("s");
    assertThat(fields.forwardedFields().first("Content-Length")).isEmpty();
    assertThat(codec.decodeResponse(HeaderFields.NONE.with("Not-Executed", "1")).declaresNotRun())
        .isTrue();
  }

  @ParameterizedTest
  @CsvSource({
    "1, true",
    "' 1 ', true",
    "01, true",
    "2, true",
    "0, false",
    "-1, false",
    "0.5, false",
    "true, false",
    "'1, 1', false",
    "9999999999999999999, false",
    "'', false"
  })
  void onlyAPositiveNumberAnnouncesThatAServerIsLeaving(String value, boolean isLeaving) {
    HeaderFields fields = HeaderFields.NONE.with("server-leaving", value);
    assertThat(codec.decodeResponse(fields).announcesLeaving()).isEqualTo(isLeaving);
  }

  @Test
  void anyOfSeveralFieldsAnnouncesThatAServerIsLeaving() {
    HeaderFields fields = HeaderFields.NONE.with("Server-Leaving", "0").with("Server-Leaving", "1");
    assertThat(codec.decodeResponse(fields).announcesLeaving()).isTrue();
    assertThat(codec.decodeResponse(HeaderFields.NONE).announcesLeaving()).isFalse();
  }
}
