package org.wigeonstage.fleet;

/**
 * Another gateway.
 *
 * @param name its name
 * @param address where it listens for peers: IP number, colon and port
 */
public record Peer(String name, String address) {}
