package org.wigeonstage.http;

import com.google.common.base.CharMatcher;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpCodecFilter;
import org.wigeonstage.request.HeaderFields;

/**
 * Checks that the octets of one response conform to HTTP/1.1 (RFC 9112) wherever they tell what its
 * fields are and where its body ends: in heads, chunk headers and trailers, and behind its end.
 *
 * <p>A line may end with a line feed alone. A line whose end has not arrived is checked, too,
 * because a server that sends something else may never end it.
 */
final class ResponseSyntax {

  /** As long as the longest head that Grizzly's codec accepts. */
  private static final int MAX_LINE_BYTES = HttpCodecFilter.DEFAULT_MAX_HTTP_PACKET_HEADER_SIZE;

  private static final int OCTET_MASK = 0xff;
  private static final int HEXADECIMAL = 16;

  /** Protocol, status code and, after a space, a reason phrase. */
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.([01]) ([0-9]{3})(?: [\\t -~\\x80-\\xff]*)?");

  /** The size of a chunk and, after a semicolon, extensions. */
  private static final Pattern CHUNK_HEADER =
      Pattern.compile("([0-9A-Fa-f]{1,15})[\\t ]*(?:;[\\t -~\\x80-\\xff]*)?");

  private static final CharMatcher WHITE_SPACE = CharMatcher.anyOf("\t ");

  /** Statuses of responses without a body, whatever their fields say; as in Grizzly's codec. */
  private static final Set<String> BODILESS_STATUSES = Set.of("204", "205", "304");

  private static final String PROTOCOL = "HTTP/";

  private enum Part {
    STATUS_LINE,
    HEADER_FIELDS,
    /** A body with a length. */
    BODY,
    CHUNK_HEADER,
    CHUNK_DATA,
    CHUNK_END,
    TRAILER_FIELDS,
    /** What follows a complete response. */
    BEHIND_END,
    /** A body that ends with the connection, or data of another protocol. */
    UNCHECKED
  }

  private final StringBuilder line = new StringBuilder();
  private Part part = Part.STATUS_LINE;
  private BodyFraming framing = new BodyFraming();
  private boolean isHttp10;
  private String status = "";
  private long remainingBytes;
  private boolean isBodiless;
  private boolean hasOctetsBehindEnd;

  /** Expects the response to a {@code HEAD} request, which has no body. */
  void expectNoBody() {
    isBodiless = true;
  }

  /** Returns whether octets have arrived behind the end of the response. */
  boolean hasOctetsBehindEnd() {
    return hasOctetsBehindEnd;
  }

  /**
   * Checks the next octets of the response.
   *
   * @throws MalformedMessageException if no valid response continues with these octets
   */
  void check(Buffer data) {
    int index = data.position();
    while (index < data.limit() && part != Part.UNCHECKED) {
      if (part == Part.BODY || part == Part.CHUNK_DATA) {
        index += skipData(data.limit() - index);
      } else if (part == Part.BEHIND_END) {
        appendBehindEnd(data.get(index));
        index++;
      } else {
        appendToLine(data.get(index));
        index++;
      }
    }
    if (!line.isEmpty()) {
      checkUnfinishedLine(withoutLineBreak());
    }
  }

  private int skipData(int availableBytes) {
    int skippedBytes = (int) Math.min(availableBytes, remainingBytes);
    remainingBytes -= skippedBytes;
    if (remainingBytes == 0) {
      part = part == Part.BODY ? Part.BEHIND_END : Part.CHUNK_END;
    }
    return skippedBytes;
  }

  /** Adds an octet to the start of what follows a body, except line breaks ahead of it. */
  private void appendBehindEnd(byte octet) {
    hasOctetsBehindEnd = true;
    boolean isLeadingBreak = line.isEmpty() && (octet == '\r' || octet == '\n');
    if (!isBodiless && !isLeadingBreak && line.length() < PROTOCOL.length()) {
      line.append((char) (octet & OCTET_MASK));
    }
  }

  private void appendToLine(byte octet) {
    if (octet == '\n') {
      String text = withoutLineBreak();
      line.setLength(0);
      part = endLine(text);
    } else {
      require(line.length() < MAX_LINE_BYTES, "a line is too long");
      line.append((char) (octet & OCTET_MASK));
    }
  }

  private String withoutLineBreak() {
    int last = line.length() - 1;
    boolean endsWithCarriageReturn = last >= 0 && line.charAt(last) == '\r';
    return endsWithCarriageReturn ? line.substring(0, last) : line.toString();
  }

  /** Checks a whole line; returns the part that the next octet belongs to. */
  private Part endLine(String text) {
    return switch (part) {
      case STATUS_LINE -> endStatusLine(text);
      case HEADER_FIELDS -> endHeaderLine(text);
      case CHUNK_HEADER -> endChunkHeader(text);
      case CHUNK_END -> endChunk(text);
      case TRAILER_FIELDS -> endTrailerLine(text);
      case BODY, CHUNK_DATA, BEHIND_END, UNCHECKED ->
          throw new AssertionError(part + " has no lines");
    };
  }

  private Part endStatusLine(String text) {
    Matcher matcher = STATUS_LINE.matcher(text);
    require(matcher.matches(), "the status line is malformed");
    isHttp10 = matcher.group(1).equals("0");
    status = matcher.group(2);
    framing = new BodyFraming();
    return Part.HEADER_FIELDS;
  }

  private Part endHeaderLine(String text) {
    if (text.isEmpty()) {
      return endHead();
    }
    HeaderFields.Field field = parseField(text);
    framing.add(field.name(), field.value());
    return Part.HEADER_FIELDS;
  }

  private Part endHead() {
    require(
        framing.isUnambiguous() && !(isHttp10 && framing.hasTransferEncoding()),
        "a Content-Length or Transfer-Encoding field is malformed, repeated or contradictory");
    if (status.startsWith("1")) {
      return status.equals("101") ? Part.UNCHECKED : Part.STATUS_LINE;
    }
    isBodiless |= BODILESS_STATUSES.contains(status);
    if (isBodiless) {
      return Part.BEHIND_END;
    }
    if (framing.hasTransferEncoding()) {
      return Part.CHUNK_HEADER;
    }
    remainingBytes = framing.contentLength();
    if (remainingBytes < 0) {
      return Part.UNCHECKED;
    }
    return remainingBytes == 0 ? Part.BEHIND_END : Part.BODY;
  }

  private Part endChunkHeader(String text) {
    Matcher matcher = CHUNK_HEADER.matcher(text);
    require(matcher.matches(), "a chunk header is malformed");
    remainingBytes = Long.parseLong(matcher.group(1), HEXADECIMAL);
    return remainingBytes == 0 ? Part.TRAILER_FIELDS : Part.CHUNK_DATA;
  }

  private static Part endChunk(String text) {
    require(text.isEmpty(), "a chunk is longer than its size");
    return Part.CHUNK_HEADER;
  }

  private static Part endTrailerLine(String text) {
    if (text.isEmpty()) {
      return Part.BEHIND_END;
    }
    parseField(text);
    return Part.TRAILER_FIELDS;
  }

  private static HeaderFields.Field parseField(String text) {
    int colon = text.indexOf(':');
    require(colon >= 0, "a header line has no colon");
    String name = text.substring(0, colon);
    require(FieldNames.isValid(name), "a field name is malformed");
    String value = WHITE_SPACE.trimFrom(text.substring(colon + 1));
    require(FieldValues.isValid(value), "a field has control characters");
    return new HeaderFields.Field(name, value);
  }

  private void checkUnfinishedLine(String text) {
    switch (part) {
      case STATUS_LINE -> requireStart(STATUS_LINE, text, "the status line is malformed");
      case HEADER_FIELDS, TRAILER_FIELDS -> requireFieldStart(text);
      case CHUNK_HEADER -> requireStart(CHUNK_HEADER, text, "a chunk header is malformed");
      case CHUNK_END -> endChunk(text);
      case BEHIND_END -> requireProtocol(text);
      case BODY, CHUNK_DATA, UNCHECKED -> throw new AssertionError(part + " has no lines");
    }
  }

  /** Another response is none of this call's; other octets belong to a body that is longer. */
  private static void requireProtocol(String text) {
    require(PROTOCOL.startsWith(text), "the body is longer than its length");
  }

  private static void requireStart(Pattern pattern, String text, String violation) {
    Matcher matcher = pattern.matcher(text);
    require(matcher.matches() || matcher.hitEnd(), violation);
  }

  private static void requireFieldStart(String text) {
    if (text.indexOf(':') >= 0) {
      parseField(text);
    } else {
      require(FieldNames.isPartValid(text), "a field name is malformed");
    }
  }

  private static void require(boolean isValid, String violation) {
    if (!isValid) {
      throw new MalformedMessageException(violation);
    }
  }
}
