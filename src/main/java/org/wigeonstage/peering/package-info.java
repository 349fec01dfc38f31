/**
 * Which link two gateways keep when both have connected to each other, and when a gateway connects.
 *
 * <p>Terms that this package uses:
 *
 * <ul>
 *   <li>Run: one start of a gateway, identified by its name and its incarnation.
 *   <li>Open link: the hello message of the peer has arrived on it.
 *   <li>Established link: something else has arrived, too, so that both ends know of the link.
 *   <li>Preferred link: the established link on which this gateway sends.
 *   <li>Superseded link: nothing more is sent on it after a last message with the reason; it is
 *       closed when the last message of the peer has arrived.
 *   <li>Silent link: nothing has arrived on it for {@link PeerLinks#LINK_TIMEOUT}.
 * </ul>
 */
@NullMarked
package org.wigeonstage.peering;

import org.jspecify.annotations.NullMarked;
