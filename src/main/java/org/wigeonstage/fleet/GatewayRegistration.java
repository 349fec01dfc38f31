package org.wigeonstage.fleet;

import org.wigeonstage.http.Endpoint;

/**
 * The registration of a gateway in the store, by which other gateways find it as a peer.
 *
 * @param name the name of the gateway
 * @param address the IP address and port at which it listens for peers
 */
public record GatewayRegistration(String name, Endpoint address) {}
