package org.wigeonstage.wire;

import java.time.Duration;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.http.Transports;

/**
 * How links are read and written.
 *
 * @param threads the number of threads that read
 * @param isDirect whether the thread that sends a message writes it to the socket as far as
 *     possible, instead of waking up a thread that does so
 * @param readPause the minimum time between two selections of links with received messages; links
 *     that become readable in it are read together
 */
public record LinkOptions(int threads, boolean isDirect, Duration readPause) {

  /** For links on which requests are handed over: no message waits. */
  public static final LinkOptions HAND_OVER = new LinkOptions(2, false, Duration.ZERO);

  /**
   * For periodic reports among many peers. With 23 peers, which send every 60 ms, a pause of 5 ms
   * lets a thread wake up about 130 times a second instead of 380. It must be short compared to the
   * interval of the reports, since it adds to their age.
   */
  public static final LinkOptions REPORTS = new LinkOptions(1, true, Duration.ofMillis(5));

  TCPNIOTransport createTransport(String name) {
    TCPNIOTransport transport = Transports.create(name, threads, isDirect);
    if (!readPause.isZero()) {
      transport.setSelectorHandler(new PausingSelectorHandler(MonotonicClock.system(), readPause));
    }
    return transport;
  }
}
