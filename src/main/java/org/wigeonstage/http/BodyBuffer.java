package org.wigeonstage.http;

import java.util.Arrays;

/** Collects a body. Its array does not grow past the declared length. Not thread-safe. */
final class BodyBuffer {

  private final long declaredLength;
  private byte[] bytes = new byte[0];
  private int length;

  /**
   * Creates an empty buffer.
   *
   * @param declaredLength the length of the body, or -1 if it is not declared
   */
  BodyBuffer(long declaredLength) {
    this.declaredLength = declaredLength;
  }

  void append(byte[] data) {
    if (length + data.length > bytes.length) {
      bytes = Arrays.copyOf(bytes, capacityFor(length + data.length));
    }
    System.arraycopy(data, 0, bytes, length, data.length);
    length += data.length;
  }

  private int capacityFor(int needed) {
    long doubled = Math.max(needed, 2L * bytes.length);
    return (int) (declaredLength >= needed ? Math.min(doubled, declaredLength) : doubled);
  }

  int length() {
    return length;
  }

  /** Returns the bytes, which must not be modified, without a copy if the body is complete. */
  byte[] toBytes() {
    if (length < bytes.length) {
      bytes = Arrays.copyOf(bytes, length);
    }
    return bytes;
  }
}
