package org.wigeonstage.fuzz;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.config.ConfigurationDocument;
import org.wigeonstage.dispatch.AgentDirectory;
import org.wigeonstage.dispatch.DispatchResult;
import org.wigeonstage.dispatch.DispatcherEffects;
import org.wigeonstage.dispatch.DispatcherLimits;
import org.wigeonstage.dispatch.PoolDirectory;
import org.wigeonstage.dispatch.RequestDispatcher;
import org.wigeonstage.handover.Message;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.routing.AgentState;
import org.wigeonstage.routing.RendezvousHash;
import org.wigeonstage.routing.RoutingPolicy;

/** One entry in the fuzzed world, with its callers. */
final class FakeEntry implements DispatcherEffects {

  private final World world;
  private final PoolDirectory directory = new PoolDirectory();
  final RequestDispatcher dispatcher;
  final Map<String, FakeLink> links = new HashMap<>();
  final Set<RequestId> open = new HashSet<>();
  private final Map<RequestId, Long> receivedBytes = new HashMap<>();
  private final Map<RequestId, Message.Offer> offers = new HashMap<>();

  FakeEntry(World world, long seed) {
    this.world = world;
    adopt(world.document);
    this.dispatcher =
        new RequestDispatcher(
            DispatcherLimits.DEFAULTS,
            world.mutation == Mutation.KEY_HOME_FOLLOWS_CONNECTIONS
                ? new ConnectedHomes(directory)
                : directory,
            RoutingPolicy.RANDOM.createRouter(new SplittableRandom(seed)),
            world.clock,
            this);
  }

  void adopt(ConfigurationDocument document) {
    directory.applyConfiguration(document);
  }

  void connect(FakeLink link) {
    FakeLink previous = links.put(link.agent.name, link);
    if (previous != null) {
      previous.closedByEntry = true;
    }
    boolean ignored = world.mutation == Mutation.INCARNATION_IGNORED;
    dispatcher.linkUp(link.agent.name, ignored ? 1 : link.agent.incarnation);
  }

  void close(FakeLink link) {
    link.closedByEntry = true;
    if (links.get(link.agent.name) == link) {
      links.remove(link.agent.name);
      dispatcher.linkDown(link.agent.name);
    }
  }

  void receive(FakeLink link, Message message) {
    if (links.get(link.agent.name) != link) {
      return;
    }
    Message seen = message;
    if (message instanceof Message.End end && world.mutation == Mutation.LENGTH_IGNORED) {
      long received = receivedBytes.getOrDefault(end.id(), 0L);
      seen = new Message.End(end.id(), received, Outcome.COMPLETED);
    }
    dispatcher.receive(link.agent.name, seen);
  }

  @Override
  public void send(String agent, Message message) {
    FakeLink link = links.get(agent);
    if (message instanceof Message.Offer offer) {
      offers.put(offer.id(), offer);
    }
    if (link != null) {
      link.sendToAgent(mutate(link, message));
    }
  }

  private Message mutate(FakeLink link, Message message) {
    if (world.mutation == Mutation.OFFERED_AGAIN && message instanceof Message.Resume resume) {
      Message.Offer offer = offers.get(resume.id());
      return new Message.Offer(
          offer.id(),
          link.agent.incarnation,
          offer.startBy(),
          offer.joinOnly(),
          offer.membersChangedAtMillis(),
          offer.spec());
    }
    if (world.mutation == Mutation.INCARNATION_IGNORED && message instanceof Message.Offer offer) {
      return new Message.Offer(
          offer.id(),
          link.agent.incarnation,
          offer.startBy(),
          offer.joinOnly(),
          offer.membersChangedAtMillis(),
          offer.spec());
    }
    return message;
  }

  @Override
  public void connect(String agent) {}

  @Override
  public void startResponse(RequestId id, int status, @Nullable String contentType) {}

  @Override
  public void continueResponse(RequestId id, byte[] data) {
    receivedBytes.merge(id, (long) data.length, Long::sum);
    world.oracle.received(id, new String(data, StandardCharsets.UTF_8));
  }

  @Override
  public void finish(RequestId id, DispatchResult result) {
    open.remove(id);
    if (world.mutation == Mutation.OUTCOME_LOST && result.outcome() == Outcome.UNKNOWN) {
      return;
    }
    boolean lie =
        world.mutation == Mutation.UNKNOWN_TOLD_AS_NOT_RUN
            && result.outcome() == Outcome.UNKNOWN
            && result.reason() != null;
    world.oracle.finished(id, lie ? DispatchResult.notRun(result.reason()) : result);
  }

  /** Chooses the home of a key among the connected agents, which is wrong. */
  private record ConnectedHomes(PoolDirectory directory) implements AgentDirectory {

    @Override
    public List<AgentState> agentsOf(String pool) {
      return directory.agentsOf(pool);
    }

    @Override
    public @Nullable AgentState agent(String name) {
      return directory.agent(name);
    }

    @Override
    public long membersChangedAtMillis(String pool) {
      return directory.membersChangedAtMillis(pool);
    }

    @Override
    public Optional<AgentState> homeOf(String pool, IdempotencyKey key) {
      List<String> names =
          directory.agentsOf(pool).stream()
              .filter(AgentState::isAvailable)
              .map(AgentState::name)
              .toList();
      return RendezvousHash.firstChoice(key.claimName(), names).map(directory::agent);
    }
  }
}
