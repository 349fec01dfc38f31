package org.wigeonstage.fleet;

/**
 * Another gateway.
 *
 * @param name its name
 * @param address the IP address and port, separated by a colon, at which it listens for peers
 */
public record Peer(String name, String address) {}
