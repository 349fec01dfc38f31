package org.wigeonstage.http;

import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** Creates TCP transports with few threads. */
public final class Transports {

  private static final int ACCEPT_BACKLOG = 1024;

  private Transports() {}

  /**
   * Returns a transport whose filters run on its selector threads.
   *
   * @param name the prefix of the threads' names
   * @param threads the number of selector threads
   * @return the transport, not started
   */
  public static TCPNIOTransport create(String name, int threads) {
    ThreadPoolConfig pool =
        ThreadPoolConfig.defaultConfig()
            .setPoolName(name)
            .setCorePoolSize(threads)
            .setMaxPoolSize(threads)
            .setDaemon(true);
    return TCPNIOTransportBuilder.newInstance()
        .setName(name)
        .setSelectorRunnersCount(threads)
        .setSelectorThreadPoolConfig(pool)
        .setIOStrategy(SameThreadIOStrategy.getInstance())
        .setTcpNoDelay(true)
        .setReuseAddress(true)
        .setServerConnectionBackLog(ACCEPT_BACKLOG)
        .setOptimizedForMultiplexing(true)
        .build();
  }
}
