package org.wigeonstage.http;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.NIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** Creates Grizzly TCP transports. */
public final class Transports {

  private static final int ACCEPT_BACKLOG = 1024;

  private Transports() {}

  /**
   * Creates a transport that runs its filters and writes on the selector threads.
   *
   * @param name the name of the transport and prefix of its thread names
   * @param selectorThreads the number of selector threads
   * @return the transport, not yet started
   */
  public static TCPNIOTransport create(String name, int selectorThreads) {
    return create(name, selectorThreads, false);
  }

  /**
   * Creates a transport that runs its filters on the selector threads.
   *
   * @param name the name of the transport and prefix of its thread names
   * @param selectorThreads the number of selector threads
   * @param isDirect whether a thread that calls a write method writes to the socket itself as far
   *     as possible without blocking, which saves the wake-up of a selector thread; completion
   *     handlers and close listeners may then run before the write method returns
   * @return the transport, not yet started
   */
  public static TCPNIOTransport create(String name, int selectorThreads, boolean isDirect) {
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
        .setOptimizedForMultiplexing(!isDirect)
        .build();
  }

  /**
   * Runs an action on the selector thread of a connection, which may be closed.
   *
   * @param connection the connection
   * @param action the action; must not block
   */
  public static void runOnSelectorThread(Connection<?> connection, Runnable action) {
    NIOConnection nioConnection = (NIOConnection) connection;
    ((NIOTransport) nioConnection.getTransport())
        .getSelectorHandler()
        .enque(
            nioConnection.getSelectorRunner(),
            () -> {
              action.run();
              return true;
            },
            null);
  }
}
