package org.wigeonstage.handover;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;

/** A message of the hand-over protocol; each travels in a frame of its own. */
public sealed interface Message {

  /** The version of the protocol that this build speaks. */
  int PROTOCOL_VERSION = 1;

  /** A message about one request. */
  sealed interface RequestMessage extends Message {
    /**
     * Returns the request that the message is about.
     *
     * @return the request's identifier
     */
    RequestId id();
  }

  /**
   * Opens a connection; each side sends it first.
   *
   * @param protocolVersion the sender's version of the protocol
   * @param role {@code entry} or {@code agent}
   * @param name the sender's name
   * @param incarnation a number that grows with each start of the sender
   * @param configVersion the version of the configuration that is in force at the sender
   */
  record Hello(int protocolVersion, String role, String name, long incarnation, long configVersion)
      implements Message {}

  /**
   * Offers a request to an agent.
   *
   * @param id the request
   * @param incarnation the agent's incarnation that the offer is meant for
   * @param startBy the time after which the request must not be dispatched
   * @param joinOnly whether the agent may only give the answer of an earlier submission, because
   *     its host is about to leave
   * @param membersChangedAtMillis when the pool's members changed last, as far as the entry knows,
   *     in milliseconds since the epoch; 0 for never
   * @param spec the request
   */
  record Offer(
      RequestId id,
      long incarnation,
      Instant startBy,
      boolean joinOnly,
      long membersChangedAtMillis,
      RequestSpec spec)
      implements RequestMessage {}

  /**
   * Says that an offer waits in the agent's queue.
   *
   * @param id the request
   */
  record Accepted(RequestId id) implements RequestMessage {}

  /**
   * Says that the agent has not dispatched the request and never will.
   *
   * @param id the request
   * @param reason why
   */
  record Refused(RequestId id, ErrorCode reason) implements RequestMessage {}

  /**
   * Ends a keyed submission that no agent may run.
   *
   * @param id the request
   * @param reason why
   * @param outcome what is known of earlier submissions under the key
   */
  record Rejected(RequestId id, ErrorCode reason, Outcome outcome) implements RequestMessage {}

  /**
   * Asks the agent not to dispatch a request.
   *
   * @param id the request
   * @param incarnation the agent's incarnation that the request was offered to
   * @param startBy the time in the offer
   */
  record Withdraw(RequestId id, long incarnation, Instant startBy) implements RequestMessage {}

  /**
   * Says that the request may have been sent to the backend server.
   *
   * @param id the request
   */
  record Dispatched(RequestId id) implements RequestMessage {}

  /**
   * Begins the backend server's answer.
   *
   * @param id the request
   * @param status the HTTP status
   * @param contentType the media type, or null
   */
  record Head(RequestId id, int status, @Nullable String contentType) implements RequestMessage {}

  /**
   * Carries a part of the answer's body.
   *
   * @param id the request
   * @param offset the position of the first byte in the body
   * @param data the bytes; not to be modified
   */
  record Chunk(RequestId id, long offset, byte[] data) implements RequestMessage {}

  /**
   * Ends the answer.
   *
   * @param id the request
   * @param length the body's length in bytes
   * @param outcome {@code COMPLETED}, or {@code UNKNOWN} where the answer broke off
   */
  record End(RequestId id, long length, Outcome outcome) implements RequestMessage {}

  /**
   * Says how much of the answer the caller has taken.
   *
   * @param id the request
   * @param offset the number of bytes
   */
  record Acknowledge(RequestId id, long offset) implements RequestMessage {}

  /**
   * Asks on a new connection for the rest of an answer.
   *
   * @param id the request
   * @param incarnation the agent's incarnation that the request was offered to
   * @param startBy the time in the offer
   * @param offset the number of bytes that the entry has
   */
  record Resume(RequestId id, long incarnation, Instant startBy, long offset)
      implements RequestMessage {}

  /**
   * Says that nobody waits for the answer any more.
   *
   * @param id the request
   */
  record Cancel(RequestId id) implements RequestMessage {}

  /**
   * The entry's heartbeat.
   *
   * @param sequence a number that the answer repeats
   * @param configVersion the version of the configuration in force at the entry
   */
  record Ping(long sequence, long configVersion) implements Message {}

  /**
   * The agent's answer to a heartbeat.
   *
   * @param sequence the number of the heartbeat
   * @param configVersion the version of the configuration in force at the agent
   * @param load the agent's load
   */
  record Pong(long sequence, long configVersion, LoadReport load) implements Message {}

  /** Says that the sender takes no new requests. */
  record Leaving() implements Message {}

  /**
   * Carries a configuration document to a peer whose version is lower.
   *
   * @param version the document's version
   * @param document the document's JSON text
   */
  record ConfigSnapshot(long version, String document) implements Message {}

  /**
   * What a gateway runs and has used, sent to its peers again and again.
   *
   * @param isLeaving whether it takes no more requests than it must
   * @param runningByServer its running requests, by backend server
   * @param waiting its waiting requests
   * @param totalUsage what it has taken from quotas since its start, by client account
   * @param recentUsage what all gateways have taken in the last window; empty where not known
   * @param burstUsed what of each quota's burst was taken and has not come back; empty where not
   *     known
   */
  record GatewayLoad(
      boolean isLeaving,
      Map<String, Integer> runningByServer,
      List<WaitingCount> waiting,
      Map<String, Long> totalUsage,
      Map<String, Long> recentUsage,
      Map<String, Long> burstUsed)
      implements Message {

    /** Makes the collections immutable. */
    public GatewayLoad {
      waiting = List.copyOf(waiting);
      runningByServer = Map.copyOf(runningByServer);
      totalUsage = Map.copyOf(totalUsage);
      recentUsage = Map.copyOf(recentUsage);
      burstUsed = Map.copyOf(burstUsed);
    }
  }
}
