package org.wigeonstage.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.wigeonstage.common.WholeNumber;
import org.wigeonstage.forward.AttemptFields;
import org.wigeonstage.forward.HeaderCodec;
import org.wigeonstage.forward.RequestFields;
import org.wigeonstage.forward.ResponseFields;
import org.wigeonstage.request.HeaderFields;

/** The platform's header fields. */
final class PlatformHeaders implements HeaderCodec {

  /** Names one sending of a request; a caller that sends again uses another one. */
  private static final String ATTEMPT_ID = "Attempt-Id";

  private static final String DEADLINE = "Deadline-Ms";
  private static final String KEY = "Credential";
  private static final String ACCOUNT = "Tenant";
  private static final String EXPECTED_SERVER = "Target-Instance";
  private static final String NOT_RUN = "Not-Executed";
  private static final String SIGNATURE = "Response-Signature";
  private static final String LENGTH_HINT = "Length-Hint";
  private static final String LAST_EVENT = "Last-Event-Id";

  /** Tokens of the prompt, a comma, and the most tokens of the answer. */
  private static final String TOKENS = "Token-Count";

  /** Parts of the prompt as ID:TOKENS; the last one belongs to the request or its session. */
  private static final String PROMPT_PARTS = "Prompt-Prefix";

  private static final String CONNECTION = "Connection";

  /** Fields that concern one connection or one body. */
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "host",
          "expect");

  /** Fields that only the system may set. */
  private static final Set<String> OWN =
      Set.of(
          "deadline-ms",
          "credential",
          "tenant",
          "target-instance",
          "last-event-id",
          "hold",
          "pin-ms",
          "kv-backup",
          "kv-from",
          "kv-fetch");

  @Override
  public RequestFields decodeRequest(HeaderFields fields) {
    List<Long> tokens = numbers(fields.first(TOKENS).orElse(""));
    boolean isDeclared = tokens.size() == 2;
    return new RequestFields(
        fields.first(ATTEMPT_ID).orElse(""),
        number(fields, DEADLINE).stream().mapToObj(Duration::ofMillis).findFirst(),
        fields.first(KEY),
        isDeclared ? tokens.get(0) : 0,
        isDeclared ? tokens.get(1) : 0,
        number(fields, LENGTH_HINT).orElse(0),
        isDeclared ? tokens.get(0) + tokens.get(1) : -1,
        fields.first(PROMPT_PARTS).flatMap(PlatformHeaders::lastPart),
        number(fields, LAST_EVENT),
        withoutHopByHop(fields).without(OWN::contains));
  }

  private static Optional<String> lastPart(String parts) {
    String last = parts.substring(parts.lastIndexOf(',') + 1).trim();
    int colon = last.indexOf(':');
    return colon > 0 ? Optional.of(last.substring(0, colon)) : Optional.empty();
  }

  @Override
  public HeaderFields encodeRequest(RequestFields request, AttemptFields attempt) {
    List<HeaderFields.Field> all = new ArrayList<>(request.forwardedFields().fields());
    all.add(
        new HeaderFields.Field(
            DEADLINE, Long.toString(Math.max(1, attempt.remainingTime().toMillis()))));
    all.add(new HeaderFields.Field(EXPECTED_SERVER, attempt.serverId()));
    attempt.account().ifPresent(name -> all.add(new HeaderFields.Field(ACCOUNT, name)));
    attempt
        .lastEventId()
        .ifPresent(id -> all.add(new HeaderFields.Field(LAST_EVENT, Long.toString(id))));
    return new HeaderFields(all);
  }

  @Override
  public ResponseFields decodeResponse(HeaderFields fields) {
    return new ResponseFields(
        fields.first(ATTEMPT_ID),
        fields.first(SIGNATURE).isPresent(),
        fields.first(NOT_RUN).isPresent(),
        fields.first("Content-Encoding").isPresent(),
        fields.hasToken(CONNECTION, "close"),
        withoutHopByHop(fields));
  }

  private static HeaderFields withoutHopByHop(HeaderFields fields) {
    Set<String> named = new HashSet<>();
    for (HeaderFields.Field field : fields.fields()) {
      if (field.name().equalsIgnoreCase(CONNECTION)) {
        for (String token : field.value().split(",", -1)) {
          named.add(token.trim().toLowerCase(Locale.ROOT));
        }
      }
    }
    return fields.without(name -> HOP_BY_HOP.contains(name) || named.contains(name));
  }

  private static OptionalLong number(HeaderFields fields, String name) {
    List<Long> numbers = numbers(fields.first(name).orElse(""));
    return numbers.size() == 1 ? OptionalLong.of(numbers.get(0)) : OptionalLong.empty();
  }

  /** Returns the whole numbers of a comma-separated list, or none where something else is in it. */
  private static List<Long> numbers(String text) {
    List<Long> numbers = new ArrayList<>();
    for (String part : text.split(",", -1)) {
      OptionalLong number = WholeNumber.parse(part.trim());
      if (number.isEmpty()) {
        return List.of();
      }
      numbers.add(number.getAsLong());
    }
    return numbers;
  }
}
