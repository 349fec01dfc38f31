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
import org.wigeonstage.handover.Message;
import org.wigeonstage.offer.AgentDirectory;
import org.wigeonstage.offer.OfferCoordinator;
import org.wigeonstage.offer.OfferEffects;
import org.wigeonstage.offer.OfferLimits;
import org.wigeonstage.offer.PoolDirectory;
import org.wigeonstage.offer.SubmissionResult;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.routing.AgentState;
import org.wigeonstage.routing.RendezvousHash;
import org.wigeonstage.routing.RoutingPolicy;

/** One entry in the simulated cluster, with its callers. */
final class SimulatedEntry implements OfferEffects {

  private final SimulatedCluster cluster;
  private final PoolDirectory directory = new PoolDirectory();
  final OfferCoordinator coordinator;
  final Map<String, SimulatedLink> links = new HashMap<>();
  final Set<RequestId> openRequests = new HashSet<>();
  private final Map<RequestId, Long> receivedBytes = new HashMap<>();
  private final Map<RequestId, Message.Offer> offers = new HashMap<>();

  SimulatedEntry(SimulatedCluster cluster, long seed) {
    this.cluster = cluster;
    applyConfiguration(cluster.document);
    this.coordinator =
        new OfferCoordinator(
            OfferLimits.DEFAULTS,
            cluster.mutation == Mutation.KEY_HOME_AMONG_CONNECTED_AGENTS
                ? new ConnectedAgentDirectory(directory)
                : directory,
            RoutingPolicy.RANDOM.createRouter(new SplittableRandom(seed)),
            cluster.clock,
            this);
  }

  void applyConfiguration(ConfigurationDocument document) {
    directory.applyConfiguration(document);
  }

  void connect(SimulatedLink link) {
    SimulatedLink previous = links.put(link.agent.name, link);
    if (previous != null) {
      previous.closedByEntry = true;
    }
    boolean ignoresIncarnation = cluster.mutation == Mutation.INCARNATION_IGNORED;
    coordinator.linkUp(link.agent.name, ignoresIncarnation ? 1 : link.agent.incarnation);
  }

  void close(SimulatedLink link) {
    link.closedByEntry = true;
    if (links.get(link.agent.name) == link) {
      links.remove(link.agent.name);
      coordinator.linkDown(link.agent.name);
    }
  }

  void receive(SimulatedLink link, Message message) {
    if (links.get(link.agent.name) != link) {
      return;
    }
    Message processed = message;
    if (message instanceof Message.End end
        && cluster.mutation == Mutation.RESPONSE_LENGTH_IGNORED) {
      long received = receivedBytes.getOrDefault(end.id(), 0L);
      processed = new Message.End(end.id(), received, Outcome.COMPLETED);
    }
    coordinator.receive(link.agent.name, processed);
  }

  @Override
  public void send(String agent, Message message) {
    SimulatedLink link = links.get(agent);
    if (message instanceof Message.Offer offer) {
      offers.put(offer.id(), offer);
    }
    if (link != null) {
      link.sendToAgent(mutate(link, message));
    }
  }

  private Message mutate(SimulatedLink link, Message message) {
    if (cluster.mutation == Mutation.OFFERED_TO_NEXT_INCARNATION
        && message instanceof Message.Resume resume) {
      Message.Offer offer = offers.get(resume.id());
      return new Message.Offer(
          offer.id(),
          link.agent.incarnation,
          offer.startBy(),
          offer.attachOnly(),
          offer.membersChangedAtMillis(),
          offer.spec());
    }
    if (cluster.mutation == Mutation.INCARNATION_IGNORED
        && message instanceof Message.Offer offer) {
      return new Message.Offer(
          offer.id(),
          link.agent.incarnation,
          offer.startBy(),
          offer.attachOnly(),
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
    cluster.oracle.recordReceived(id, new String(data, StandardCharsets.UTF_8));
  }

  @Override
  public void finish(RequestId id, SubmissionResult result) {
    openRequests.remove(id);
    if (cluster.mutation == Mutation.OUTCOME_LOST && result.outcome() == Outcome.UNKNOWN) {
      return;
    }
    boolean isMutated =
        cluster.mutation == Mutation.UNKNOWN_REPORTED_AS_NOT_RUN
            && result.outcome() == Outcome.UNKNOWN
            && result.reason() != null;
    cluster.oracle.recordOutcome(id, isMutated ? SubmissionResult.notRun(result.reason()) : result);
  }

  /** A faulty directory that chooses the home of a key among the connected agents only. */
  private record ConnectedAgentDirectory(PoolDirectory directory) implements AgentDirectory {

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
