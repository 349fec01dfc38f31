package org.wigeonstage.http;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.util.function.DoubleSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Bounds the memory of the large request bodies of all connections of a server. A body counts with
 * its declared length from its head on, so that those which were admitted can be read to their end.
 * Small bodies are not counted: they are bounded by the number of connections.
 *
 * <p>With a {@link MemoryBound}, all bodies count, and the held parts of responses do, too. Below
 * half of the bound every body is admitted, above it only those of the more urgent requests.
 * Responses never fail to be counted; if the unsent parts of all exceed their share, {@link
 * RequestFilter} ends the connections that have not been read from for the longest time.
 *
 * <p>Thread-safe.
 */
final class BodyMemory {

  /** Bodies up to this size are not counted without a {@link MemoryBound}. */
  static final int SMALL_BODY_BYTES = 64 * 1024;

  /**
   * What an unsent part of a response takes beside its bytes, such as its buffers and its record in
   * the queue of its connection. For events of a few tokens this is most of their memory.
   */
  static final int BYTES_PER_WRITE = 1024;

  /**
   * The part of the heap for request bodies. A growing body needs up to twice its size for a
   * moment.
   */
  private static final double HEAP_SHARE = 1.0 / 3;

  /** Up to this share of the bound, bodies are admitted whatever the urgency of their requests. */
  private static final double UNCONDITIONAL_SHARE = 0.5;

  /**
   * The share of the bound for the unsent parts of responses. It is smaller than the one that all
   * requests may use, so that callers that don't read cause no rejections of others.
   */
  private static final double UNSENT_SHARE = 0.25;

  private final long maxBytes;
  private final MemoryBound.@Nullable Admission admission;

  @GuardedBy("this")
  private long reservedBytes;

  @GuardedBy("this")
  private long bufferedBytes;

  @GuardedBy("this")
  private long unsentBytes;

  BodyMemory(long maxBytes, MemoryBound.@Nullable Admission admission) {
    this.maxBytes = maxBytes;
    this.admission = admission;
  }

  /** Creates an object with a bound that follows from the heap of this process. */
  static BodyMemory ofHeap() {
    return new BodyMemory((long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE), null);
  }

  static BodyMemory of(MemoryBound bound) {
    return new BodyMemory(bound.maxBytes(), bound.admission());
  }

  /** Returns whether small bodies and responses count, too. */
  boolean countsAll() {
    return admission != null;
  }

  /** Returns the size up to which bodies are not counted. */
  int uncountedBytes() {
    return countsAll() ? 0 : SMALL_BODY_BYTES;
  }

  /** Returns the share of the memory that may be in use after a request is admitted. */
  double shareFor(CallerRequest request) {
    MemoryBound.Admission current = admission;
    return current == null ? 1 : current.shareFor(request.path(), request.fields());
  }

  private boolean tryReserve(long bytes, DoubleSupplier share) {
    // The share is determined without the lock, and only where it matters.
    double allowed = fits(bytes, UNCONDITIONAL_SHARE) ? UNCONDITIONAL_SHARE : share.getAsDouble();
    synchronized (this) {
      if (!fits(bytes, allowed)) {
        return false;
      }
      reservedBytes += bytes;
      return true;
    }
  }

  private synchronized boolean fits(long bytes, double share) {
    return reservedBytes + bufferedBytes + unsentBytes + bytes <= maxBytes * share;
  }

  private synchronized void release(long bytes) {
    reservedBytes -= bytes;
  }

  private synchronized void changeBuffered(long difference) {
    bufferedBytes += difference;
  }

  private synchronized void changeUnsent(long difference) {
    unsentBytes += difference;
  }

  /** Returns the number of bytes that are reserved for bodies. */
  synchronized long reservedBytes() {
    return reservedBytes;
  }

  /** Returns the number of bytes that are held for responses. */
  synchronized long responseBytes() {
    return bufferedBytes + unsentBytes;
  }

  /** Returns whether the unsent parts of responses exceed their share. */
  synchronized boolean hasTooMuchUnsent() {
    return unsentBytes > maxBytes * UNSENT_SHARE;
  }

  /** The reservations of one connection. Thread-safe. */
  final class Share {

    @GuardedBy("this")
    private long shareBytes;

    @GuardedBy("this")
    private long shareBufferedBytes;

    @GuardedBy("this")
    private long shareUnsentBytes;

    @GuardedBy("this")
    private Duration lastTakenAt = Duration.ZERO;

    @GuardedBy("this")
    private boolean isClosed;

    /** Reserves memory, unless there is too little; returns whether it was reserved. */
    synchronized boolean tryReserve(long bytes, CallerRequest request) {
      if (isClosed || !BodyMemory.this.tryReserve(bytes, () -> shareFor(request))) {
        return false;
      }
      shareBytes += bytes;
      return true;
    }

    /** Returns the memory to which the share belongs. */
    BodyMemory memory() {
      return BodyMemory.this;
    }

    /** Releases memory after the response to a request. */
    synchronized void release(long bytes) {
      if (!isClosed) {
        shareBytes -= bytes;
        BodyMemory.this.release(bytes);
      }
    }

    /** Counts what is buffered of the current response, in place of the earlier number. */
    synchronized void setBuffered(long bytes) {
      if (!isClosed && countsAll()) {
        BodyMemory.this.changeBuffered(bytes - shareBufferedBytes);
        shareBufferedBytes = bytes;
      }
    }

    /** Counts a part of a response that is written to the connection. */
    synchronized void addUnsent(long bytes, Duration now) {
      if (!isClosed && countsAll()) {
        lastTakenAt = shareUnsentBytes == 0 ? now : lastTakenAt;
        shareUnsentBytes += bytes;
        BodyMemory.this.changeUnsent(bytes);
      }
    }

    /** Releases a part of a response that the operating system has taken. */
    synchronized void removeUnsent(long bytes, Duration now) {
      if (!isClosed && countsAll()) {
        lastTakenAt = now;
        shareUnsentBytes -= bytes;
        BodyMemory.this.changeUnsent(-bytes);
      }
    }

    synchronized long unsentBytes() {
      return shareUnsentBytes;
    }

    /** Returns since when no unsent part has been taken. */
    synchronized Duration lastTakenAt() {
      return lastTakenAt;
    }

    /** Releases everything after the end of the connection. */
    synchronized void close() {
      if (!isClosed) {
        isClosed = true;
        BodyMemory.this.release(shareBytes);
        BodyMemory.this.changeBuffered(-shareBufferedBytes);
        BodyMemory.this.changeUnsent(-shareUnsentBytes);
        shareUnsentBytes = 0;
      }
    }
  }
}
