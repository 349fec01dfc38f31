package org.wigeonstage.peering;

import java.util.Locale;

/** Why a link is closed. */
public enum CloseReason {
  /** Both gateways have connected, and the other link is preferred. */
  SUPERSEDED,

  /** The gateway that has opened the link has opened another one since. */
  DUPLICATE,

  /** A later run of the peer has a link. */
  OLDER_INCARNATION,

  /** The peer states the name of this gateway. */
  OWN_NAME,

  /** The other end is no gateway. */
  OTHER_ROLE,

  /** The peer has {@link PeerLinks#MAX_LINKS} links already. */
  TOO_MANY_LINKS,

  /** The other end has not sent its hello message. */
  NO_HELLO,

  /** Nothing has arrived on the link for {@link PeerLinks#LINK_TIMEOUT}. */
  SILENT,

  /** The connection has ended, and the peer has stated no reason. */
  CONNECTION_ENDED;

  /**
   * Returns the reason as it appears in messages, log lines and metrics.
   *
   * @return the text
   */
  public String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns whether the peer that states this reason goes on with another link. */
  boolean isChoice() {
    return this == SUPERSEDED || this == DUPLICATE;
  }

  /**
   * Returns the reason with the given text.
   *
   * @param text the text that a peer has stated
   * @return the reason; {@link #CONNECTION_ENDED} if the text is unknown
   */
  public static CloseReason of(String text) {
    for (CloseReason reason : values()) {
      if (reason.text().equals(text)) {
        return reason;
      }
    }
    return CONNECTION_ENDED;
  }
}
