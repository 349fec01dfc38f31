package org.wigeonstage.wire;

/** The message types. Their ordinals are sent in frames, so their order is part of the protocol. */
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
  GATEWAY_LOAD,
  CRASH,
  SERVER_LEAVING,
  LINK_CONFIRMED,
  LINK_CLOSING,
  ROLLOUT_STATUS,
  ROLLOUT_COMMAND,
  STORE_ERA,
  SERVER_SPEEDS,
  CONFIGURATION_KNOWN,
  CONFIGURATION_REQUEST,
  CONFIGURATION_REPLY
}
