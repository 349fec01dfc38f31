package org.wigeonstage.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import org.wigeonstage.common.WholeNumber;

/**
 * Cuts the bytes of an event stream into whole events.
 *
 * <p>Only whole events are passed on, because a stream that breaks within an event goes on at
 * another backend server with that event's beginning.
 */
public final class EventSplitter {

  /** The longest event in bytes: thousands of times one of a few tokens. */
  public static final int MAX_EVENT_BYTES = 256 * 1024;

  private static final int INITIAL_BYTES = 512;
  private static final String ID_FIELD = "id:";

  private byte[] buffer = new byte[INITIAL_BYTES];
  private int length;
  private int scanned;

  /**
   * One event.
   *
   * @param bytes the event with the empty line that ends it
   * @param id its number, or empty where it has none
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Event(byte[] bytes, OptionalLong id) {}

  /**
   * Takes bytes of the stream.
   *
   * @param data the next bytes
   * @return the events that are whole now
   */
  public List<Event> feed(byte[] data) {
    append(data);
    List<Event> events = new ArrayList<>();
    int start = 0;
    while (scanned < length) {
      if (buffer[scanned] == '\n' && isEmptyLine(start)) {
        events.add(eventOf(Arrays.copyOfRange(buffer, start, scanned + 1)));
        start = scanned + 1;
      }
      scanned++;
    }
    System.arraycopy(buffer, start, buffer, 0, length - start);
    length -= start;
    scanned -= start;
    return events;
  }

  /** Returns whether the line that ends at the current position has no characters. */
  private boolean isEmptyLine(int start) {
    int previous = scanned - 1;
    if (previous >= start && buffer[previous] == '\r') {
      previous--;
    }
    return previous >= start && buffer[previous] == '\n';
  }

  /**
   * Returns whether more bytes came without the end of an event than any event has, as from a
   * server that sends no events. No more should be fed then.
   *
   * @return whether the event is too long
   */
  public boolean isTooLong() {
    return length > MAX_EVENT_BYTES;
  }

  /**
   * Returns the bytes that belong to no whole event yet, and forgets them.
   *
   * @return the bytes
   */
  public byte[] takeRemainder() {
    byte[] rest = Arrays.copyOf(buffer, length);
    length = 0;
    scanned = 0;
    return rest;
  }

  private void append(byte[] data) {
    if (length + data.length > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, length + data.length));
    }
    System.arraycopy(data, 0, buffer, length, data.length);
    length += data.length;
  }

  private static Event eventOf(byte[] bytes) {
    String text = new String(bytes, StandardCharsets.ISO_8859_1);
    for (String line : text.split("\r?\n", -1)) {
      if (line.startsWith(ID_FIELD)) {
        return new Event(bytes, WholeNumber.parse(line.substring(ID_FIELD.length()).trim()));
      }
    }
    return new Event(bytes, OptionalLong.empty());
  }
}
