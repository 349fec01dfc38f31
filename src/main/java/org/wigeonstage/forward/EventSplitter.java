package org.wigeonstage.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import org.wigeonstage.common.WholeNumber;

/**
 * Splits the bytes of an event stream into complete events.
 *
 * <p>Only complete events are forwarded: a stream that is interrupted within an event is resumed at
 * another backend server from the start of that event.
 */
public final class EventSplitter {

  /**
   * The maximum length of an event in bytes: thousands of times a typical event of a few tokens.
   */
  public static final int MAX_EVENT_BYTES = 256 * 1024;

  private static final int INITIAL_CAPACITY_BYTES = 512;
  private static final String ID_FIELD = "id:";

  private byte[] buffer = new byte[INITIAL_CAPACITY_BYTES];
  private int length;
  private int scanPosition;

  /**
   * A complete event.
   *
   * @param bytes the event, including the blank line that ends it
   * @param id the event's ID, or empty if it has none or the ID is not a whole number
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Event(byte[] bytes, OptionalLong id) {}

  /**
   * Appends bytes of the stream. Line breaks between events belong to none, and are dropped.
   *
   * @param data the next bytes
   * @return the events that these bytes completed
   */
  public List<Event> feed(byte[] data) {
    append(data);
    List<Event> events = new ArrayList<>();
    int start = 0;
    while (scanPosition < length) {
      if (scanPosition == start && isLineBreak(buffer[scanPosition])) {
        start++;
      } else if (buffer[scanPosition] == '\n' && isBlankLine(start)) {
        events.add(parse(Arrays.copyOfRange(buffer, start, scanPosition + 1)));
        start = scanPosition + 1;
      }
      scanPosition++;
    }
    System.arraycopy(buffer, start, buffer, 0, length - start);
    length -= start;
    scanPosition -= start;
    return events;
  }

  private static boolean isLineBreak(byte octet) {
    return octet == '\n' || octet == '\r';
  }

  /** Returns whether the line that ends at the current position is empty. */
  private boolean isBlankLine(int start) {
    int previous = scanPosition - 1;
    if (previous >= start && buffer[previous] == '\r') {
      previous--;
    }
    return previous >= start && buffer[previous] == '\n';
  }

  /**
   * Returns whether the incomplete event exceeds {@link #MAX_EVENT_BYTES}, for example because the
   * server does not send events at all. No more bytes should be added then.
   *
   * @return whether the event is too long
   */
  public boolean isTooLong() {
    return length > MAX_EVENT_BYTES;
  }

  /**
   * Returns whether an event is incomplete.
   *
   * @return whether bytes of an incomplete event are buffered
   */
  public boolean isInsideEvent() {
    return length > 0;
  }

  /**
   * Removes and returns the bytes of the incomplete event.
   *
   * @return the bytes; empty if the last event is complete
   */
  public byte[] takeRemainder() {
    byte[] remainder = Arrays.copyOf(buffer, length);
    length = 0;
    scanPosition = 0;
    return remainder;
  }

  private void append(byte[] data) {
    if (length + data.length > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, length + data.length));
    }
    System.arraycopy(data, 0, buffer, length, data.length);
    length += data.length;
  }

  /**
   * Returns the lines of an event, without the line feeds and carriage returns that end them, and
   * what follows the last line feed. A regular expression would cost several times as much, for
   * each event of each stream.
   */
  static List<String> lines(byte[] bytes) {
    List<String> lines = new ArrayList<>();
    int start = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        int end = i > start && bytes[i - 1] == '\r' ? i - 1 : i;
        lines.add(new String(bytes, start, end - start, StandardCharsets.ISO_8859_1));
        start = i + 1;
      }
    }
    lines.add(new String(bytes, start, bytes.length - start, StandardCharsets.ISO_8859_1));
    return lines;
  }

  private static Event parse(byte[] bytes) {
    for (String line : lines(bytes)) {
      if (line.startsWith(ID_FIELD)) {
        return new Event(bytes, parseId(line.substring(ID_FIELD.length())));
      }
    }
    return new Event(bytes, OptionalLong.empty());
  }

  /** Accepts only the spelling in which all callers read the same ID. */
  private static OptionalLong parseId(String value) {
    String digits = value.startsWith(" ") ? value.substring(1) : value;
    boolean hasLeadingZero = digits.length() > 1 && digits.startsWith("0");
    return hasLeadingZero ? OptionalLong.empty() : WholeNumber.parse(digits);
  }
}
