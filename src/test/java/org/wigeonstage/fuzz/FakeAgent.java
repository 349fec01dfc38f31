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

/** One incarnation of an agent in the fuzzed world, with its backend server. */
final class FakeAgent implements LedgerEffects {

  private static final int QUEUE_CAPACITY = 2;
  private static final int WINDOW = 2;

  private final World world;
  final String name;
  final long incarnation;
  final RequestLedger ledger;
  final Map<LinkId, FakeLink> links = new LinkedHashMap<>();
  private final Map<RequestId, RequestSpec> specs = new LinkedHashMap<>();
  private final Map<RequestId, Integer> running = new LinkedHashMap<>();
  private RequestId lastAnswered;
  boolean paused;
  boolean leaving;

  FakeAgent(World world, String name, long incarnation) {
    this.world = world;
    this.name = name;
    this.incarnation = incarnation;
    TierQueue queue =
        new MutantQueue(new FairTierQueue(QUEUE_CAPACITY), QUEUE_CAPACITY, world.mutation);
    this.ledger =
        new RequestLedger(
            name,
            incarnation,
            LedgerLimits.DEFAULTS,
            queue,
            new AdaptiveDispatchWindow(1, WINDOW, 0.1, Duration.ofMillis(34)),
            world.clock,
            this);
    adopt(world.document);
    if (incarnation == 1 || world.mutation == Mutation.KEY_HISTORY_ASSUMED) {
      ledger.markKeyHistoryComplete();
    }
  }

  /** Follows a document; a mutant knows no homes, or not who the members were before. */
  void adopt(ConfigurationDocument document) {
    PoolSpec pool = document.pools().get(0);
    boolean homesFollow = world.mutation == Mutation.KEY_HOME_FOLLOWS_CONNECTIONS;
    MemberChange change = pool.memberChange();
    boolean forgets = world.mutation == Mutation.MEMBER_CHANGE_FORGOTTEN && change != null;
    ledger.updateMembers(
        homesFollow ? List.of() : pool.memberNames(),
        forgets ? new MemberChange(change.atMillis(), pool.memberNames()) : change);
  }

  void receive(FakeLink link, Message message) {
    Message seen = mutate(message);
    if (seen instanceof Message.Offer offer) {
      specs.put(offer.id(), offer.spec());
    }
    boolean forget =
        world.mutation == Mutation.TOMBSTONE_DROPPED
            && (seen instanceof Message.Withdraw || seen instanceof Message.Resume)
            && !specs.containsKey(((Message.RequestMessage) seen).id());
    if (forget) {
      RequestId id = ((Message.RequestMessage) seen).id();
      send(link.id, new Message.Refused(id, ErrorCode.OFFER_UNSEEN));
    } else {
      ledger.receive(link.id, seen);
    }
  }

  private Message mutate(Message message) {
    if (world.mutation == Mutation.INCARNATION_IGNORED) {
      if (message instanceof Message.Resume resume) {
        return new Message.Resume(resume.id(), incarnation, resume.startBy(), resume.offset());
      }
      if (message instanceof Message.Withdraw withdraw) {
        return new Message.Withdraw(withdraw.id(), incarnation, withdraw.startBy());
      }
    }
    if (world.mutation == Mutation.KEYS_IGNORED && message instanceof Message.Offer offer) {
      RequestSpec s = offer.spec();
      RequestSpec bare =
          new RequestSpec(
              s.account(), s.tier(), s.pool(), s.nonIdempotent(), null, s.cost(), s.call(), null);
      return new Message.Offer(
          offer.id(),
          offer.incarnation(),
          offer.startBy(),
          offer.joinOnly(),
          offer.membersChangedAtMillis(),
          bare);
    }
    return message;
  }

  @Override
  public void send(LinkId linkId, Message message) {
    if (message instanceof Message.Refused refused
        && refused.reason() == ErrorCode.OVERLOADED
        && specs.containsKey(refused.id())) {
      world.oracle.refusedAsOverloaded(
          specs.get(refused.id()), ledger.loadReport().lowestWaitingRank());
    }
    FakeLink link = links.get(linkId);
    if (link == null) {
      return;
    }
    boolean lie =
        world.mutation == Mutation.REFUSED_AFTER_DISPATCH && message instanceof Message.Dispatched;
    link.sendToEntry(
        lie
            ? new Message.Refused(((Message.Dispatched) message).id(), ErrorCode.NO_BACKEND_SERVER)
            : message);
  }

  @Override
  public void dispatch(RequestId id, RequestSpec spec, Instant queuedAt) {
    RequestSpec original = specs.getOrDefault(id, spec);
    world.oracle.dispatched(id, world.submittedSpec(id, original), leaving);
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

  /** Lets one running request make some progress. */
  void progress(RandomGenerator random) {
    if (running.isEmpty()) {
      return;
    }
    List<RequestId> ids = new ArrayList<>(running.keySet());
    RequestId id = ids.get(random.nextInt(ids.size()));
    switch (random.nextInt(8)) {
      case 0 -> breakOff(id);
      case 1 -> refuseConnection(id);
      case 2, 3 -> complete(id);
      default -> answerPart(id);
    }
  }

  private void breakOff(RequestId id) {
    if (world.mutation == Mutation.SENT_AGAIN) {
      world.oracle.dispatched(id, specs.get(id), leaving);
      return;
    }
    running.remove(id);
    ledger.responseEnded(id, Outcome.UNKNOWN);
  }

  private void refuseConnection(RequestId id) {
    if (running.get(id) > 0) {
      return;
    }
    running.remove(id);
    world.oracle.neverReached(id, world.submittedSpec(id, specs.get(id)));
    ledger.dispatchFailed(id);
  }

  private void answerPart(RequestId id) {
    int part = running.merge(id, 1, Integer::sum);
    if (part == 1) {
      ledger.responseStarted(id, 200, null);
      return;
    }
    String text = id + "#" + part + ";";
    world.oracle.answered(id, text);
    boolean cross = world.mutation == Mutation.ANSWERS_CROSSED && lastAnswered != null;
    RequestId target = cross && running.containsKey(lastAnswered) ? lastAnswered : id;
    ledger.responsePartReceived(target, text.getBytes(StandardCharsets.UTF_8));
    lastAnswered = id;
  }

  private void complete(RequestId id) {
    if (running.get(id) == 0) {
      answerPart(id);
    }
    answerPart(id);
    running.remove(id);
    world.oracle.answeredWholly(id);
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
    if (world.mutation != Mutation.LEAVING_IGNORED) {
      ledger.leave();
    }
    links.values().forEach(link -> link.sendToEntry(new Message.Leaving()));
  }
}
