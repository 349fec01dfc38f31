package org.wigeonstage.wire;

/** The first element of a frame's array; the order is part of the protocol. */
enum MessageType {
  HELLO,
  OFFER,
  ACCEPTED,
  REFUSED,
  REJECTED,
  WITHDRAW,
  DISPATCHED,
  HEAD,
  CHUNK,
  END,
  ACKNOWLEDGE,
  RESUME,
  CANCEL,
  PING,
  PONG,
  LEAVING,
  CONFIG_SNAPSHOT,
  GATEWAY_LOAD
}
