package org.wigeonstage.http;

import org.wigeonstage.request.HeaderFields;

/**
 * A bound on what a server holds for its callers: the bodies of requests, and the parts of
 * responses that are buffered or that callers have not read yet.
 *
 * @param maxBytes the bound in bytes
 * @param admission decides which requests are rejected first near the bound
 */
public record MemoryBound(long maxBytes, Admission admission) {

  /** Code, thread stacks, buffers of the operating system's interface and other memory. */
  private static final long OTHER_MEGABYTES = 120;

  /** The part of the memory for callers. A growing body needs up to twice its size for a moment. */
  private static final double SHARE = 1.0 / 3;

  /** Room for two of the largest bodies, without which none would be admitted. */
  private static final long MIN_BYTES = 16L * 1024 * 1024;

  private static final long BYTES_PER_MEGABYTE = 1024 * 1024;

  /** Decides which share of the memory may be in use after a request is admitted. */
  @FunctionalInterface
  public interface Admission {

    /**
     * Returns the share for a request.
     *
     * @param path the path without the query
     * @param fields the header fields
     * @return the share, from 0 to 1; larger for more urgent requests
     */
    double shareFor(String path, HeaderFields fields);
  }

  /**
   * Returns the bound for a process.
   *
   * @param processMegabytes the memory that the process may use, in megabytes
   * @param heapBytes the maximum size of its heap, in bytes
   * @param admission decides which requests are rejected first
   * @return the bound
   */
  public static MemoryBound ofProcess(int processMegabytes, long heapBytes, Admission admission) {
    long usableBytes =
        Math.min(heapBytes, (processMegabytes - OTHER_MEGABYTES) * BYTES_PER_MEGABYTE);
    return new MemoryBound(Math.max(MIN_BYTES, (long) (usableBytes * SHARE)), admission);
  }
}
