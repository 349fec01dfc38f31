package org.wigeonstage.handover;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.capacity.SpeedReport;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.crash.CrashReport;
import org.wigeonstage.fleet.ConfigurationReport;
import org.wigeonstage.fleet.KnownConfiguration;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.rollout.RolloutDirective;
import org.wigeonstage.rollout.RolloutReport;

/** A message of the hand-over protocol. Each message is sent in a separate frame. */
public sealed interface Message {

  /** The protocol version of this build. */
  int PROTOCOL_VERSION = 2;

  /**
   * The value of {@link Hello#configVersion} of gateways that accept {@link Crash} messages;
   * earlier builds state 0, and close links on which they receive an unknown message.
   */
  long CRASH_REPORTS = 1;

  /**
   * The value of {@link Hello#configVersion} of gateways that accept {@link ServerLeaving}
   * messages, too.
   */
  long LEAVING_SERVERS = 2;

  /**
   * The value of {@link Hello#configVersion} of gateways that accept {@link LinkConfirmed} and
   * {@link LinkClosing} messages, too, and choose between two links by the same rule.
   */
  long LINK_CHOICE = 3;

  /**
   * The value of {@link Hello#configVersion} of gateways that accept {@link RolloutStatus} and
   * {@link RolloutCommand} messages, too.
   */
  long ROLLOUTS = 4;

  /**
   * The value of {@link Hello#configVersion} of gateways that accept {@link StoreEra} messages,
   * too.
   */
  long STORE_ERAS = 5;

  /**
   * The value of {@link Hello#configVersion} of gateways that accept {@link ServerSpeeds} messages,
   * too.
   */
  long SERVER_SPEEDS = 6;

  /**
   * The value of {@link Hello#configVersion} of gateways that accept {@link ConfigurationKnown},
   * {@link ConfigurationRequest} and {@link ConfigurationReply} messages, too.
   */
  long CONFIGURATIONS = 7;

  /** A message about one request. */
  sealed interface RequestMessage extends Message {
    /**
     * Returns the identifier of the request.
     *
     * @return the request that the message is about
     */
    RequestId id();
  }

  /**
   * The first message that each side sends on a link.
   *
   * @param protocolVersion the protocol version of the sender
   * @param role the role of the sender, {@code entry}, {@code agent} or {@code gateway}
   * @param name the name of the sender
   * @param incarnation a number that grows with each start of the sender
   * @param configVersion the version of the configuration in force at the sender; a gateway, whose
   *     peers do not need it, states {@link #CONFIGURATIONS}
   */
  record Hello(int protocolVersion, String role, String name, long incarnation, long configVersion)
      implements Message {}

  /**
   * Offers a request to an agent.
   *
   * @param id the request
   * @param incarnation the incarnation of the agent that may accept the offer
   * @param startBy the latest start, after which the request must not be dispatched
   * @param attachOnly whether the agent may only attach the submission to an existing execution
   *     with the same idempotency key, and must not queue a new one, because the agent is leaving
   *     or suspected to be
   * @param membersChangedAtMillis when the members of the pool changed last, as known to the entry,
   *     in milliseconds since the epoch; 0 if they have never changed
   * @param spec the content of the request
   */
  record Offer(
      RequestId id,
      long incarnation,
      Instant startBy,
      boolean attachOnly,
      long membersChangedAtMillis,
      RequestSpec spec)
      implements RequestMessage {}

  /**
   * Reports that the agent has accepted an offer and queued the request.
   *
   * @param id the request
   */
  record Accepted(RequestId id) implements RequestMessage {}

  /**
   * Reports that the request has not reached the backend server of the agent and never will. The
   * entry may offer a request without an idempotency key to another agent; after {@link Rejected},
   * it must not.
   *
   * @param id the request
   * @param reason the reason for the refusal
   */
  record Refused(RequestId id, ErrorCode reason) implements RequestMessage {}

  /**
   * Concludes a submission whose response the agent can't provide. In contrast to {@link Refused},
   * an earlier submission with the same idempotency key, or this one, may have run, or the key
   * belongs to a different request. The entry must not offer the request to another agent, and
   * reports the outcome to the caller.
   *
   * @param id the request
   * @param reason the reason for the rejection
   * @param outcome what the agent knows about the request, including earlier submissions with the
   *     same idempotency key: {@code UNKNOWN} if it may have run, {@code NOT_RUN} if the key
   *     belongs to a different request, or the outcome of an earlier submission whose response is
   *     no longer held
   */
  record Rejected(RequestId id, ErrorCode reason, Outcome outcome) implements RequestMessage {}

  /**
   * Asks the agent not to dispatch a request.
   *
   * @param id the request
   * @param incarnation the incarnation of the agent that the request was offered to
   * @param startBy the latest start in the offer
   */
  record Withdraw(RequestId id, long incarnation, Instant startBy) implements RequestMessage {}

  /**
   * Reports that the request has been dispatched, or can no longer be withdrawn. The latter also
   * applies to a queued request if other submissions are attached to its execution.
   *
   * @param id the request
   */
  record Dispatched(RequestId id) implements RequestMessage {}

  /**
   * Carries the head of the response of the backend server.
   *
   * @param id the request
   * @param status the HTTP status code
   * @param contentType the media type, or null if the response has none
   */
  record Head(RequestId id, int status, @Nullable String contentType) implements RequestMessage {}

  /**
   * Carries a part of the response body.
   *
   * @param id the request
   * @param offset the position of the first byte in the body
   * @param data the bytes, which must not be modified
   */
  record Chunk(RequestId id, long offset, byte[] data) implements RequestMessage {}

  /**
   * Marks the end of the response.
   *
   * @param id the request
   * @param length the length of the body in bytes
   * @param outcome {@code COMPLETED}, or {@code UNKNOWN} if the response is truncated
   */
  record End(RequestId id, long length, Outcome outcome) implements RequestMessage {}

  /**
   * Acknowledges the part of the response body that has been delivered to the caller.
   *
   * @param id the request
   * @param offset the number of delivered bytes
   */
  record Acknowledge(RequestId id, long offset) implements RequestMessage {}

  /**
   * Asks for the rest of a response on a new link.
   *
   * @param id the request
   * @param incarnation the incarnation of the agent that the request was offered to
   * @param startBy the latest start in the offer
   * @param offset the number of body bytes that the entry has received
   */
  record Resume(RequestId id, long incarnation, Instant startBy, long offset)
      implements RequestMessage {}

  /**
   * Reports that the response is no longer needed.
   *
   * @param id the request
   */
  record Cancel(RequestId id) implements RequestMessage {}

  /**
   * The heartbeat of an entry.
   *
   * @param sequence a number that the reply repeats
   * @param configVersion the version of the configuration in force at the entry
   */
  record Ping(long sequence, long configVersion) implements Message {}

  /**
   * The reply of an agent to a heartbeat.
   *
   * @param sequence the number of the heartbeat
   * @param configVersion the version of the configuration in force at the agent
   * @param load the load of the agent
   */
  record Pong(long sequence, long configVersion, LoadReport load) implements Message {}

  /** Reports that the sender accepts no new requests. */
  record Leaving() implements Message {}

  /**
   * Carries a configuration document to a process that has an older version.
   *
   * @param version the version of the document
   * @param document the JSON text of the document
   */
  record ConfigSnapshot(long version, String document) implements Message {}

  /**
   * Reports what a gateway knows about a crash of a backend server. Sent only to gateways whose
   * hello message states at least {@link #CRASH_REPORTS}.
   *
   * @param report the report
   */
  record Crash(CrashReport report) implements Message {}

  /**
   * Reports that a backend server has announced in a response that it is leaving. Sent only to
   * gateways whose hello message states at least {@link #LEAVING_SERVERS}.
   *
   * @param runId identifies the run of the server
   * @param age the time since the announcement was received
   */
  record ServerLeaving(String runId, Duration age) implements Message {}

  /**
   * Reports that the hello message of the receiver has arrived on this link. Sent only to gateways
   * whose hello message states at least {@link #LINK_CHOICE}.
   */
  record LinkConfirmed() implements Message {}

  /**
   * The last message of a gateway on a link, which the receiver closes when it needs it no longer.
   * Sent only to gateways whose hello message states at least {@link #LINK_CHOICE}.
   *
   * @param reason why the sender no longer uses the link
   */
  record LinkClosing(String reason) implements Message {}

  /**
   * Reports the evidence of a gateway about an open roll-out order to the elected gateway. Sent
   * only to gateways whose hello message states at least {@link #ROLLOUTS}.
   *
   * @param report the report
   */
  record RolloutStatus(RolloutReport report) implements Message {}

  /**
   * Carries the step of a roll-out order from the elected gateway to the others. Sent only to
   * gateways whose hello message states at least {@link #ROLLOUTS}.
   *
   * @param directive the order and its step
   */
  record RolloutCommand(RolloutDirective directive) implements Message {}

  /**
   * Reports the highest era of the store that the sender has seen. Sent only to gateways whose
   * hello message states at least {@link #STORE_ERAS}, and only if the store states its era.
   *
   * @param era the number of times that the store has been restored
   */
  record StoreEra(long era) implements Message {}

  /** A message about the configuration that a gateway has in force. */
  sealed interface ConfigurationMessage extends Message {}

  /**
   * Reports which configuration the sender has in force, on each new link and when it changes. Sent
   * only to gateways whose hello message states at least {@link #CONFIGURATIONS}, and only if the
   * store states its era.
   *
   * @param known the configuration, or null if the sender has none yet
   */
  record ConfigurationKnown(@Nullable KnownConfiguration known) implements ConfigurationMessage {}

  /**
   * Asks for the configuration that the receiver has in force.
   *
   * @param id identifies the request on its link
   * @param heldVersion the version of the configuration that the sender holds, or -1 if it has none
   */
  record ConfigurationRequest(long id, long heldVersion) implements ConfigurationMessage {}

  /**
   * Answers a {@link ConfigurationRequest}.
   *
   * @param id the identifier of the request
   * @param report the configuration, or null if the sender has none
   */
  record ConfigurationReply(long id, @Nullable ConfigurationReport report)
      implements ConfigurationMessage {}

  /**
   * Reports how slow some servers are, compared to the others of their pools. Sent when a server
   * slows down or recovers, and each second while it is slow. Sent only to gateways whose hello
   * message states at least {@link #SERVER_SPEEDS}.
   *
   * @param reports the reports
   */
  record ServerSpeeds(List<SpeedReport> reports) implements Message {

    /** Creates a message with a copy of the reports. */
    public ServerSpeeds {
      reports = List.copyOf(reports);
    }
  }

  /**
   * The load and the quota usage of a gateway, which it sends to its peers periodically: first
   * completely, then as the changes since the previous message on the same link (see {@link
   * LoadChanges}).
   *
   * @param isComplete whether everything is included; otherwise only what has changed is, and a
   *     count of 0 means that there is none any more
   * @param isLeaving whether the gateway is shutting down, and accepts only requests that it
   *     expects to finish in time
   * @param runningByServer the number of its running requests, by backend server
   * @param waiting the number of its waiting requests, by pool and urgency
   * @param totalUsage the quota units that it has acquired since its start, by client account
   * @param recentUsage the quota units that all gateways have acquired in the last quota window, by
   *     client account; empty if unknown
   * @param toleratedBurstUsed by client account, how many quota units of the tolerated burst are
   *     used and not yet replenished; empty if unknown. The tolerated burst is the number of quota
   *     units that an account may acquire at once in addition to its sustained rate, at which the
   *     burst is replenished.
   */
  record GatewayLoad(
      boolean isComplete,
      boolean isLeaving,
      Map<String, Integer> runningByServer,
      List<WaitingCount> waiting,
      Map<String, Long> totalUsage,
      Map<String, Long> recentUsage,
      Map<String, Long> toleratedBurstUsed)
      implements Message {

    /** Creates a message with copies of the collections. */
    public GatewayLoad {
      waiting = List.copyOf(waiting);
      runningByServer = Map.copyOf(runningByServer);
      totalUsage = Map.copyOf(totalUsage);
      recentUsage = Map.copyOf(recentUsage);
      toleratedBurstUsed = Map.copyOf(toleratedBurstUsed);
    }
  }
}
