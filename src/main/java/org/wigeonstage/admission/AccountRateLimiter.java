package org.wigeonstage.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.wigeonstage.common.MonotonicClock;

/**
 * Limits the request rate of each client account at this entry, with one token bucket per account.
 * An entry enforces its share of the limit that applies to all entries together.
 *
 * <p>Thread-safe.
 */
public final class AccountRateLimiter {

  private static final double NANOS_PER_SECOND = 1e9;

  private final MonotonicClock clock;
  private final Map<String, Bucket> buckets = new HashMap<>();
  private double share = 1;

  /**
   * Creates a rate limiter with full buckets.
   *
   * @param clock the clock used to refill the buckets
   */
  public AccountRateLimiter(MonotonicClock clock) {
    this.clock = clock;
  }

  /**
   * Updates this entry's share of each limit.
   *
   * @param newShare the share, above 0 and at most 1; the shares of all entries add up to 1
   */
  public synchronized void updateShare(double newShare) {
    share = newShare;
  }

  /**
   * Acquires a token for one request, if one is available.
   *
   * @param account the name of the client account
   * @param requestsPerSecond the limit of the account over all entries
   * @return whether the request is within the limit
   */
  public synchronized boolean tryAcquire(String account, double requestsPerSecond) {
    double rate = requestsPerSecond * share;
    Bucket bucket = buckets.computeIfAbsent(account, name -> new Bucket(clock.elapsed(), rate));
    return bucket.tryAcquire(clock.elapsed(), rate);
  }

  /** A token bucket whose capacity is the requests of one second, but at least one. */
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
