/**
 * Links: connections between an entry and an agent, or between two gateways, that carry the
 * hand-over protocol as frames of MessagePack data.
 */
@NullMarked
package org.wigeonstage.wire;

import org.jspecify.annotations.NullMarked;
