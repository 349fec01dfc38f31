package org.wigeonstage.platform;

import com.google.common.base.Splitter;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.Set;
import org.wigeonstage.common.WholeNumber;
import org.wigeonstage.forward.AttemptFields;
import org.wigeonstage.forward.HeaderCodec;
import org.wigeonstage.forward.RequestFields;
import org.wigeonstage.forward.ResponseFields;
import org.wigeonstage.request.HeaderFields;

/** Converts the platform's header fields. */
final class PlatformHeaderCodec implements HeaderCodec {

  /** Identifies a submission; a caller that submits a request again sends another ID. */
  private static final String ATTEMPT_ID = "Attempt-Id";

  private static final String DEADLINE = "Deadline-Ms";
  private static final String API_KEY = "Credential";
  private static final String CLIENT_ACCOUNT = "Tenant";
  private static final String EXPECTED_SERVER = "Target-Instance";
  private static final String NOT_RUN = "Not-Executed";
  private static final String SIGNATURE = "Response-Signature";

  /** A positive number states that the server is shutting down; anything else is ignored. */
  private static final String LEAVING = "Server-Leaving";

  /** The version of the model's weights that a server must have; others decline the request. */
  private static final String REQUIRED_VERSION = "Required-Version";

  private static final String LENGTH_HINT = "Length-Hint";

  /** The version of a model's weights; repeated in lower case by an event at which it changes. */
  private static final String WEIGHTS_VERSION = "weight-versions:";

  private static final String LAST_EVENT_ID = "Last-Event-Id";

  /** The tokens of the prompt, a comma, and the maximum number of tokens to generate. */
  private static final String TOKEN_COUNTS = "Token-Count";

  /**
   * Parts of the prompt as ID:TOKENS, separated by commas. The last one belongs to the request or
   * its session.
   */
  private static final String PROMPT_PARTS = "Prompt-Prefix";

  /** Longer IDs are replaced by a hash, because IDs that crashed servers are retained. */
  private static final int MAX_PART_ID_LENGTH = 64;

  private static final Splitter PART_SPLITTER = Splitter.on(',');

  private static final String CONNECTION = "Connection";

  /** Fields that apply to a single connection or body and are not forwarded. */
  private static final Set<String> HOP_BY_HOP_FIELDS =
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

  /** Fields that only the system may set; they are removed from the requests of callers. */
  private static final Set<String> RESERVED_FIELDS =
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
    List<Long> tokenCounts = parseNumbers(fields.first(TOKEN_COUNTS).orElse(""));
    boolean hasTokenCounts = tokenCounts.size() == 2;
    return new RequestFields(
        fields.first(ATTEMPT_ID).orElse(""),
        parseNumber(fields, DEADLINE).stream().mapToObj(Duration::ofMillis).findFirst(),
        fields.first(API_KEY),
        hasTokenCounts ? tokenCounts.get(0) : 0,
        hasTokenCounts ? tokenCounts.get(1) : 0,
        parseNumber(fields, LENGTH_HINT).orElse(0),
        hasTokenCounts ? tokenCounts.get(0) + tokenCounts.get(1) : -1,
        sharedPartsOf(fields.first(PROMPT_PARTS).orElse("")),
        parseNumber(fields, LAST_EVENT_ID),
        fields.first(REQUIRED_VERSION).isPresent(),
        withoutHopByHop(fields).without(RESERVED_FIELDS::contains));
  }

  /** Returns the IDs of all parts but the last; an entry without an ID is skipped. */
  private static List<String> sharedPartsOf(String parts) {
    List<String> entries = PART_SPLITTER.splitToList(parts);
    return entries.subList(0, Math.max(0, entries.size() - 1)).stream()
        .map(entry -> entry.substring(0, Math.max(0, entry.indexOf(':'))).trim())
        .filter(id -> !id.isEmpty())
        .map(PlatformHeaderCodec::shortened)
        .distinct()
        .toList();
  }

  private static String shortened(String id) {
    return id.length() <= MAX_PART_ID_LENGTH
        ? id
        : Hashing.sha256().hashString(id, StandardCharsets.UTF_8).toString();
  }

  @Override
  public HeaderFields encodeRequest(RequestFields request, AttemptFields attempt) {
    List<HeaderFields.Field> encoded = new ArrayList<>(request.forwardedFields().fields());
    encoded.add(
        new HeaderFields.Field(
            DEADLINE, Long.toString(Math.max(1, attempt.remainingTime().toMillis()))));
    encoded.add(new HeaderFields.Field(EXPECTED_SERVER, attempt.serverId()));
    attempt
        .account()
        .ifPresent(name -> encoded.add(HeaderFields.Field.ofText(CLIENT_ACCOUNT, name)));
    attempt
        .lastEventId()
        .ifPresent(id -> encoded.add(new HeaderFields.Field(LAST_EVENT_ID, Long.toString(id))));
    return new HeaderFields(encoded);
  }

  @Override
  public ResponseFields decodeResponse(HeaderFields fields) {
    return new ResponseFields(
        fields.first(ATTEMPT_ID),
        fields.first(SIGNATURE).isPresent(),
        fields.first(NOT_RUN).isPresent(),
        fields.first("Content-Encoding").isPresent(),
        fields.hasToken(CONNECTION, "close"),
        announcesLeaving(fields),
        withoutHopByHop(fields));
  }

  @Override
  public boolean isRepeatedField(String line) {
    return line.startsWith(WEIGHTS_VERSION)
        && WholeNumber.parse(line.substring(WEIGHTS_VERSION.length()).trim()).isPresent();
  }

  private static boolean announcesLeaving(HeaderFields fields) {
    return fields.fields().stream()
        .filter(field -> field.name().equalsIgnoreCase(LEAVING))
        .anyMatch(field -> WholeNumber.parse(field.value().trim()).orElse(0) > 0);
  }

  private static HeaderFields withoutHopByHop(HeaderFields fields) {
    Set<String> connectionOptions = new HashSet<>();
    for (HeaderFields.Field field : fields.fields()) {
      if (field.name().equalsIgnoreCase(CONNECTION)) {
        for (String token : field.value().split(",", -1)) {
          connectionOptions.add(token.trim().toLowerCase(Locale.ROOT));
        }
      }
    }
    return fields.without(
        name -> HOP_BY_HOP_FIELDS.contains(name) || connectionOptions.contains(name));
  }

  private static OptionalLong parseNumber(HeaderFields fields, String name) {
    List<Long> numbers = parseNumbers(fields.first(name).orElse(""));
    return numbers.size() == 1 ? OptionalLong.of(numbers.get(0)) : OptionalLong.empty();
  }

  /** Parses a comma-separated list of whole numbers; returns an empty list if it is malformed. */
  private static List<Long> parseNumbers(String text) {
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
