package org.wigeonstage.http;

import com.google.common.base.CharMatcher;
import com.google.common.primitives.Longs;

/**
 * What the fields of a message say about the end of its body. It is ambiguous if two parsers could
 * understand it differently.
 */
final class BodyFraming {

  private static final String CONTENT_LENGTH = "Content-Length";
  private static final String TRANSFER_ENCODING = "Transfer-Encoding";
  private static final long NO_LENGTH = -1;
  private static final CharMatcher DIGITS = CharMatcher.inRange('0', '9');

  private int contentLengths;
  private long contentLength = NO_LENGTH;
  private int transferEncodings;
  private boolean isValid = true;

  /** Takes a header field into account; most fields say nothing about the body. */
  void add(String name, String value) {
    if (name.equalsIgnoreCase(CONTENT_LENGTH)) {
      contentLengths++;
      Long length = DIGITS.matchesAllOf(value) ? Longs.tryParse(value) : null;
      isValid &= length != null;
      contentLength = length == null ? NO_LENGTH : length;
    } else if (name.equalsIgnoreCase(TRANSFER_ENCODING)) {
      transferEncodings++;
      isValid &= value.equalsIgnoreCase("chunked");
    }
  }

  boolean hasContentLength() {
    return contentLengths > 0;
  }

  /** Returns the length that the last {@code Content-Length} field states, or -1 for none. */
  long contentLength() {
    return contentLength;
  }

  boolean hasTransferEncoding() {
    return transferEncodings > 0;
  }

  /** Returns whether there is one valid statement about the end of the body, or none. */
  boolean isUnambiguous() {
    return isValid && contentLengths + transferEncodings <= 1;
  }
}
