package org.wigeonstage.http;

import com.google.errorprone.annotations.concurrent.GuardedBy;

/**
 * Bounds the memory of the large request bodies of all connections of a server. A body counts with
 * its declared length from its head on, so that those which were admitted can be read to their end.
 * Small bodies are not counted: they are bounded by the number of connections.
 *
 * <p>Thread-safe.
 */
final class BodyMemory {

  /** Bodies up to this size are not counted. */
  static final int SMALL_BODY_BYTES = 64 * 1024;

  /**
   * The part of the heap for request bodies. A growing body needs up to twice its size for a
   * moment.
   */
  private static final double HEAP_SHARE = 1.0 / 3;

  private final long maxBytes;

  @GuardedBy("this")
  private long reservedBytes;

  BodyMemory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Creates an object with a bound that follows from the heap of this process. */
  static BodyMemory ofHeap() {
    return new BodyMemory((long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE));
  }

  private synchronized boolean tryReserve(long bytes) {
    if (reservedBytes + bytes > maxBytes) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  private synchronized void release(long bytes) {
    reservedBytes -= bytes;
  }

  /** Returns the number of bytes that are reserved for bodies. */
  synchronized long reservedBytes() {
    return reservedBytes;
  }

  /** The reservations of one connection. Thread-safe. */
  final class Share {

    @GuardedBy("this")
    private long shareBytes;

    @GuardedBy("this")
    private boolean isClosed;

    /** Reserves memory, unless there is too little; returns whether it was reserved. */
    synchronized boolean tryReserve(long bytes) {
      if (isClosed || !BodyMemory.this.tryReserve(bytes)) {
        return false;
      }
      shareBytes += bytes;
      return true;
    }

    /** Releases memory after the response to a request. */
    synchronized void release(long bytes) {
      if (!isClosed) {
        shareBytes -= bytes;
        BodyMemory.this.release(bytes);
      }
    }

    /** Releases everything after the end of the connection. */
    synchronized void close() {
      if (!isClosed) {
        isClosed = true;
        BodyMemory.this.release(shareBytes);
      }
    }
  }
}
