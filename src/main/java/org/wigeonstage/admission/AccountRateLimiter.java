package org.wigeonstage.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.wigeonstage.common.MonotonicClock;

/**
 * Token buckets that keep each client account to this entry's share of its limit. Safe for use by
 * several threads.
 */
public final class AccountRateLimiter {

  private static final double NANOS_PER_SECOND = 1e9;

  private final MonotonicClock clock;
  private final Map<String, Bucket> buckets = new HashMap<>();
  private double share = 1;

  /**
   * Creates limits that no account has used.
   *
   * @param clock the clock for refills
   */
  public AccountRateLimiter(MonotonicClock clock) {
    this.clock = clock;
  }

  /**
   * Sets this entry's share of each limit.
   *
   * @param newShare a number above 0 and not above 1; the shares of all entries add up to 1
   */
  public synchronized void updateShare(double newShare) {
    share = newShare;
  }

  /**
   * Takes one request from an account's bucket.
   *
   * @param account the account's name
   * @param requestsPerSecond the account's limit over all entries
   * @return whether the request is within the limit
   */
  public synchronized boolean tryAcquire(String account, double requestsPerSecond) {
    double rate = requestsPerSecond * share;
    Bucket bucket = buckets.computeIfAbsent(account, name -> new Bucket(clock.elapsed(), rate));
    return bucket.tryAcquire(clock.elapsed(), rate);
  }

  /** Requests that may still be made; it holds at most one second's worth, and at least one. */
  private static final class Bucket {

    private Duration refilledAt;
    private double tokens;

    Bucket(Duration now, double rate) {
      refilledAt = now;
      tokens = Math.max(1, rate);
    }

    boolean tryAcquire(Duration now, double rate) {
      double elapsedSeconds = now.minus(refilledAt).toNanos() / NANOS_PER_SECOND;
      tokens = Math.min(Math.max(1, rate), tokens + elapsedSeconds * rate);
      refilledAt = now;
      if (tokens < 1) {
        return false;
      }
      tokens--;
      return true;
    }
  }
}
