package org.wigeonstage.http;

import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** Creates Grizzly TCP transports. */
public final class Transports {

  private static final int ACCEPT_BACKLOG = 1024;

  private Transports() {}

  /**
   * Creates a transport that runs its filters on the selector threads.
   *
   * @param name the name of the transport and prefix of its thread names
   * @param selectorThreads the number of selector threads
   * @return the transport, not yet started
   */
  public static TCPNIOTransport create(String name, int selectorThreads) {
    ThreadPoolConfig pool =
        ThreadPoolConfig.defaultConfig()
            .setPoolName(name)
            .setCorePoolSize(selectorThreads)
            .setMaxPoolSize(selectorThreads)
            .setDaemon(true);
    return TCPNIOTransportBuilder.newInstance()
        .setName(name)
        .setSelectorRunnersCount(selectorThreads)
        .setSelectorThreadPoolConfig(pool)
        .setIOStrategy(SameThreadIOStrategy.getInstance())
        .setTcpNoDelay(true)
        .setReuseAddress(true)
        .setServerConnectionBackLog(ACCEPT_BACKLOG)
        .setOptimizedForMultiplexing(true)
        .build();
  }
}
