package org.wigeonstage.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;

/** The part of an answer's body that is kept for entries which may ask for it again. */
final class ResponseBuffer {

  /**
   * A run of bytes.
   *
   * @param offset the position of the first byte in the body
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

  /** Forgets the bytes before a position. */
  void discardBefore(long offset) {
    while (!parts.isEmpty() && parts.getFirst().end() <= offset) {
      start = parts.removeFirst().end();
    }
  }

  /** Forgets all bytes. */
  void clear() {
    parts.clear();
    start = end;
  }

  boolean holdsFrom(long offset) {
    return offset >= start && offset <= end;
  }

  /** Returns the bytes from a position on. */
  List<Part> partsFrom(long offset) {
    List<Part> tail = new ArrayList<>();
    for (Part part : parts) {
      if (part.end() <= offset) {
        continue;
      }
      int skip = (int) Math.max(0, offset - part.offset());
      byte[] data =
          skip == 0 ? part.data() : Arrays.copyOfRange(part.data(), skip, part.data().length);
      tail.add(new Part(part.offset() + skip, data));
    }
    return tail;
  }

  long size() {
    return end - start;
  }

  long length() {
    return end;
  }
}
