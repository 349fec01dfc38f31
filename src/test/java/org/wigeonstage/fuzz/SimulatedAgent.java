package org.wigeonstage.fuzz;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.config.ConfigurationDocument;
import org.wigeonstage.config.PoolSpec;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.handover.Message;
import org.wigeonstage.ledger.LedgerEffects;
import org.wigeonstage.ledger.LedgerLimits;
import org.wigeonstage.ledger.RequestLedger;
import org.wigeonstage.queue.AdaptiveDispatchWindow;
import org.wigeonstage.queue.FairTierQueue;
import org.wigeonstage.queue.TierQueue;
import org.wigeonstage.request.MemberChange;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;

/** One incarnation of an agent in the simulated cluster, with its backend server. */
final class SimulatedAgent implements LedgerEffects {

  private static final int QUEUE_CAPACITY = 2;
  private static final int MAX_WINDOW = 2;

  private final SimulatedCluster cluster;
  final String name;
  final long incarnation;
  final RequestLedger ledger;
  final Map<LinkId, SimulatedLink> links = new LinkedHashMap<>();
  private final Map<RequestId, RequestSpec> offeredSpecs = new LinkedHashMap<>();

  /** The running requests, with the number of response parts of each; the start is the first. */
  private final Map<RequestId, Integer> running = new LinkedHashMap<>();

  private RequestId lastResponding;
  boolean paused;
  boolean leaving;

  SimulatedAgent(SimulatedCluster cluster, String name, long incarnation) {
    this.cluster = cluster;
    this.name = name;
    this.incarnation = incarnation;
    TierQueue queue =
        new MutantQueue(new FairTierQueue(QUEUE_CAPACITY), QUEUE_CAPACITY, cluster.mutation);
    this.ledger =
        new RequestLedger(
            name,
            incarnation,
            LedgerLimits.AGENT_LIMITS,
            queue,
            new AdaptiveDispatchWindow(1, MAX_WINDOW, 0.1, Duration.ofMillis(34)),
            cluster.clock,
            this);
    applyConfiguration(cluster.document);
    if (incarnation == 1 || cluster.mutation == Mutation.KEY_HISTORY_ASSUMED_COMPLETE) {
      ledger.markKeyHistoryComplete();
    }
  }

  /** Applies a configuration document, unless a mutation ignores members or member changes. */
  void applyConfiguration(ConfigurationDocument document) {
    PoolSpec pool = document.pools().get(0);
    boolean ignoresHomes = cluster.mutation == Mutation.KEY_HOME_AMONG_CONNECTED_AGENTS;
    MemberChange change = pool.memberChange();
    boolean ignoresChange = cluster.mutation == Mutation.MEMBER_CHANGE_IGNORED && change != null;
    ledger.updateMembers(
        ignoresHomes ? List.of() : pool.memberNames(),
        ignoresChange ? new MemberChange(change.atMillis(), pool.memberNames()) : change);
  }

  void receive(SimulatedLink link, Message message) {
    Message processed = mutate(message);
    if (processed instanceof Message.Offer offer) {
      offeredSpecs.put(offer.id(), offer.spec());
    }
    boolean skipsTombstone =
        cluster.mutation == Mutation.TOMBSTONE_NOT_RECORDED
            && (processed instanceof Message.Withdraw || processed instanceof Message.Resume)
            && !offeredSpecs.containsKey(((Message.RequestMessage) processed).id());
    if (skipsTombstone) {
      RequestId id = ((Message.RequestMessage) processed).id();
      send(link.id, new Message.Refused(id, ErrorCode.OFFER_UNSEEN));
    } else {
      ledger.receive(link.id, processed);
    }
  }

  private Message mutate(Message message) {
    if (cluster.mutation == Mutation.INCARNATION_IGNORED) {
      if (message instanceof Message.Resume resume) {
        return new Message.Resume(resume.id(), incarnation, resume.startBy(), resume.offset());
      }
      if (message instanceof Message.Withdraw withdraw) {
        return new Message.Withdraw(withdraw.id(), incarnation, withdraw.startBy());
      }
    }
    if (cluster.mutation == Mutation.KEYS_IGNORED && message instanceof Message.Offer offer) {
      RequestSpec s = offer.spec();
      RequestSpec specWithoutKey =
          new RequestSpec(
              s.account(), s.tier(), s.pool(), s.nonIdempotent(), null, s.cost(), s.call(), null);
      return new Message.Offer(
          offer.id(),
          offer.incarnation(),
          offer.startBy(),
          offer.attachOnly(),
          offer.membersChangedAtMillis(),
          specWithoutKey);
    }
    return message;
  }

  @Override
  public void send(LinkId linkId, Message message) {
    if (message instanceof Message.Refused refused
        && refused.reason() == ErrorCode.OVERLOADED
        && offeredSpecs.containsKey(refused.id())) {
      cluster.oracle.checkOverloadRefusal(
          offeredSpecs.get(refused.id()), ledger.loadReport().rankOfLowestWaitingTier());
    }
    SimulatedLink link = links.get(linkId);
    if (link == null) {
      return;
    }
    boolean isMutated =
        cluster.mutation == Mutation.REFUSED_AFTER_DISPATCH
            && message instanceof Message.Dispatched;
    link.sendToEntry(
        isMutated
            ? new Message.Refused(((Message.Dispatched) message).id(), ErrorCode.NO_BACKEND_SERVER)
            : message);
  }

  @Override
  public void dispatch(RequestId id, RequestSpec spec, Instant queuedAt) {
    RequestSpec original = offeredSpecs.getOrDefault(id, spec);
    cluster.oracle.recordDispatch(id, cluster.submittedSpec(id, original), leaving);
    running.put(id, 0);
  }

  @Override
  public void cancel(RequestId id) {
    if (running.remove(id) != null) {
      ledger.responseEnded(id, Outcome.UNKNOWN);
    }
  }

  @Override
  public void pauseReading(RequestId id) {}

  @Override
  public void resumeReading(RequestId id) {}

  /** Advances one running request. */
  void progress(RandomGenerator random) {
    if (running.isEmpty()) {
      return;
    }
    List<RequestId> ids = new ArrayList<>(running.keySet());
    RequestId id = ids.get(random.nextInt(ids.size()));
    switch (random.nextInt(8)) {
      case 0 -> abortResponse(id);
      case 1 -> failToConnect(id);
      case 2, 3 -> complete(id);
      default -> sendResponsePart(id);
    }
  }

  private void abortResponse(RequestId id) {
    if (cluster.mutation == Mutation.DISPATCHED_TWICE) {
      cluster.oracle.recordDispatch(id, offeredSpecs.get(id), leaving);
      return;
    }
    running.remove(id);
    ledger.responseEnded(id, Outcome.UNKNOWN);
  }

  private void failToConnect(RequestId id) {
    if (running.get(id) > 0) {
      return;
    }
    running.remove(id);
    cluster.oracle.undoDispatch(id, cluster.submittedSpec(id, offeredSpecs.get(id)));
    ledger.dispatchFailed(id);
  }

  private void sendResponsePart(RequestId id) {
    int part = running.merge(id, 1, Integer::sum);
    if (part == 1) {
      ledger.responseStarted(id, 200, null);
      return;
    }
    String text = id + "#" + part + ";";
    cluster.oracle.recordResponsePart(id, text);
    boolean mixesUp =
        cluster.mutation == Mutation.RESPONSE_PARTS_MIXED_UP && lastResponding != null;
    RequestId target = mixesUp && running.containsKey(lastResponding) ? lastResponding : id;
    ledger.responsePartReceived(target, text.getBytes(StandardCharsets.UTF_8));
    lastResponding = id;
  }

  private void complete(RequestId id) {
    if (running.get(id) == 0) {
      sendResponsePart(id);
    }
    sendResponsePart(id);
    running.remove(id);
    cluster.oracle.recordResponseCompleted(id);
    ledger.responseEnded(id, Outcome.COMPLETED);
  }

  /** Completes all running requests. */
  void completeAll() {
    List.copyOf(running.keySet()).forEach(this::complete);
  }

  void leave() {
    if (leaving) {
      return;
    }
    leaving = true;
    if (cluster.mutation != Mutation.LEAVING_IGNORED) {
      ledger.leave();
    }
    links.values().forEach(link -> link.sendToEntry(new Message.Leaving()));
  }
}
