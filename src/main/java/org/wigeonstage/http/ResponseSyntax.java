package org.wigeonstage.http;

import com.google.common.base.CharMatcher;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpCodecFilter;

/**
 * Checks that the octets of one response conform to HTTP/1.1 (RFC 9112) wherever they tell what its
 * fields are and where its body ends: in heads, chunk headers and trailers.
 *
 * <p>A line may end with a line feed alone. The last line of each part of the response is checked
 * although its end has not arrived, because a server that sends no valid line may never end it.
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

  private enum Part {
    STATUS_LINE,
    HEADER_FIELDS,
    CHUNK_HEADER,
    CHUNK_DATA,
    CHUNK_END,
    TRAILER_FIELDS,
    /** A body that is not sent in chunks, or what follows a complete response. */
    UNCHECKED
  }

  private final StringBuilder line = new StringBuilder();
  private Part part = Part.STATUS_LINE;
  private BodyFraming framing = new BodyFraming();
  private boolean isHttp10;
  private boolean isInterim;
  private long remainingChunkBytes;

  /**
   * Checks the next octets of the response.
   *
   * @throws MalformedMessageException if no valid response continues with these octets
   */
  void check(Buffer data) {
    int index = data.position();
    while (index < data.limit() && part != Part.UNCHECKED) {
      if (part == Part.CHUNK_DATA) {
        index += skipChunkData(data.limit() - index);
      } else {
        appendToLine(data.get(index));
        index++;
      }
    }
    if (!line.isEmpty()) {
      checkUnfinishedLine(withoutLineBreak());
    }
  }

  private int skipChunkData(int availableBytes) {
    int skippedBytes = (int) Math.min(availableBytes, remainingChunkBytes);
    remainingChunkBytes -= skippedBytes;
    if (remainingChunkBytes == 0) {
      part = Part.CHUNK_END;
    }
    return skippedBytes;
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
      case CHUNK_DATA, UNCHECKED -> throw new AssertionError(part + " has no lines");
    };
  }

  private Part endStatusLine(String text) {
    Matcher matcher = STATUS_LINE.matcher(text);
    require(matcher.matches(), "the status line is malformed");
    String status = matcher.group(2);
    isHttp10 = matcher.group(1).equals("0");
    isInterim = status.startsWith("1") && !status.equals("101");
    framing = new BodyFraming();
    return Part.HEADER_FIELDS;
  }

  private Part endHeaderLine(String text) {
    if (text.isEmpty()) {
      return endHead();
    }
    int colon = requireField(text);
    framing.add(text.substring(0, colon), WHITE_SPACE.trimFrom(text.substring(colon + 1)));
    return Part.HEADER_FIELDS;
  }

  private Part endHead() {
    require(
        framing.isUnambiguous() && !(isHttp10 && framing.hasTransferEncoding()),
        "a Content-Length or Transfer-Encoding field is malformed, repeated or contradictory");
    if (isInterim) {
      return Part.STATUS_LINE;
    }
    return framing.hasTransferEncoding() ? Part.CHUNK_HEADER : Part.UNCHECKED;
  }

  private Part endChunkHeader(String text) {
    Matcher matcher = CHUNK_HEADER.matcher(text);
    require(matcher.matches(), "a chunk header is malformed");
    remainingChunkBytes = Long.parseLong(matcher.group(1), HEXADECIMAL);
    return remainingChunkBytes == 0 ? Part.TRAILER_FIELDS : Part.CHUNK_DATA;
  }

  private static Part endChunk(String text) {
    require(text.isEmpty(), "a chunk is longer than its size");
    return Part.CHUNK_HEADER;
  }

  private static Part endTrailerLine(String text) {
    if (text.isEmpty()) {
      return Part.UNCHECKED;
    }
    requireField(text);
    return Part.TRAILER_FIELDS;
  }

  /** Requires that a line is a field; returns the position of the colon behind its name. */
  private static int requireField(String text) {
    int colon = text.indexOf(':');
    require(colon >= 0, "a header line has no colon");
    require(FieldNames.isValid(text.substring(0, colon)), "a field name is malformed");
    require(FieldValues.isValid(text.substring(colon + 1)), "a field has control characters");
    return colon;
  }

  private void checkUnfinishedLine(String text) {
    switch (part) {
      case STATUS_LINE -> requireStart(STATUS_LINE, text, "the status line is malformed");
      case HEADER_FIELDS, TRAILER_FIELDS -> requireFieldStart(text);
      case CHUNK_HEADER -> requireStart(CHUNK_HEADER, text, "a chunk header is malformed");
      case CHUNK_END -> endChunk(text);
      case CHUNK_DATA, UNCHECKED -> throw new AssertionError(part + " has no lines");
    }
  }

  private static void requireStart(Pattern pattern, String text, String violation) {
    Matcher matcher = pattern.matcher(text);
    require(matcher.matches() || matcher.hitEnd(), violation);
  }

  private static void requireFieldStart(String text) {
    if (text.indexOf(':') >= 0) {
      requireField(text);
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
