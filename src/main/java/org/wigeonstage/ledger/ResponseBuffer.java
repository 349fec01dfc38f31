package org.wigeonstage.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;

/**
 * Holds the last part of a response body, from the first byte that an entry may request again to
 * the latest byte received.
 */
final class ResponseBuffer {

  /**
   * A range of bytes.
   *
   * @param offset the position of the first byte in the response body
   * @param data the bytes
   */
  record Part(long offset, byte[] data) {

    long end() {
      return offset + data.length;
    }
  }

  private final Deque<Part> parts = new ArrayDeque<>();
  private long start;
  private long end;

  /** Appends bytes and returns them with their position. */
  Part append(byte[] data) {
    Part part = new Part(end, data);
    parts.addLast(part);
    end += data.length;
    return part;
  }

  /** Discards the parts that end at or before an offset. */
  void discardBefore(long offset) {
    while (!parts.isEmpty() && parts.getFirst().end() <= offset) {
      start = parts.removeFirst().end();
    }
  }

  /** Discards all bytes. */
  void clear() {
    parts.clear();
    start = end;
  }

  /** Returns whether all bytes from an offset to the end are held. */
  boolean holdsFrom(long offset) {
    return offset >= start && offset <= end;
  }

  /** Returns the bytes from an offset to the end. */
  List<Part> partsFrom(long offset) {
    List<Part> tail = new ArrayList<>();
    for (Part part : parts) {
      if (part.end() <= offset) {
        continue;
      }
      int skippedBytes = (int) Math.max(0, offset - part.offset());
      byte[] data =
          skippedBytes == 0
              ? part.data()
              : Arrays.copyOfRange(part.data(), skippedBytes, part.data().length);
      tail.add(new Part(part.offset() + skippedBytes, data));
    }
    return tail;
  }

  /** Returns the number of bytes held. */
  long size() {
    return end - start;
  }

  /** Returns the number of bytes appended so far, including those that were discarded. */
  long length() {
    return end;
  }
}
