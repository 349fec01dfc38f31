package org.wigeonstage.orders;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.config.PoolSpec;
import org.wigeonstage.http.BlockingCall;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.http.HttpResponse;
import org.wigeonstage.membership.AgentRegistration;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.store.ObjectStore;
import org.wigeonstage.store.StoredObject;

/**
 * Loads and unloads models on one backend server until they match the configuration of its pool.
 * Methods block.
 */
public final class BackendServerReconciler {

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final int OK = 200;

  private final String agentName;
  private final long incarnation;
  private final HttpClient client;
  private final Endpoint backendServerEndpoint;
  private final ObjectStore store;
  private final LoadSlots slots;
  private final MonotonicClock clock;
  private final MetricRegistry metrics;

  /**
   * Creates a reconciler.
   *
   * @param agentName the name of the agent
   * @param incarnation the incarnation of the agent, which is the fencing number of its orders
   * @param client the client for calls to the backend server
   * @param backendServerEndpoint the address of the backend server
   * @param store the object store of the platform
   * @param slots limits concurrent loads from the weight store, which holds the weights of models
   * @param clock the monotonic clock for leases
   * @param metrics the registry of the order counters
   */
  public BackendServerReconciler(
      String agentName,
      long incarnation,
      HttpClient client,
      Endpoint backendServerEndpoint,
      ObjectStore store,
      LoadSlots slots,
      MonotonicClock clock,
      MetricRegistry metrics) {
    this.agentName = agentName;
    this.incarnation = incarnation;
    this.client = client;
    this.backendServerEndpoint = backendServerEndpoint;
    this.store = store;
    this.slots = slots;
    this.clock = clock;
    this.metrics = metrics;
  }

  /**
   * Reads the registration to confirm or revoke the lease, and then sends the missing orders one by
   * one until one of them is not carried out. Does nothing if the pool lists nothing to load.
   *
   * @param pool the configuration of the pool
   * @param lease the lease of this incarnation
   * @throws WigeonstageException if the platform or the backend server can't be reached
   */
  public void reconcile(PoolSpec pool, FencingLease lease) {
    if (pool.loads().isEmpty()) {
      return;
    }
    confirmOrRevoke(lease);
    List<Order> orders = OrderPlanner.plan(Set.copyOf(pool.loads()), readLoaded());
    for (Order order : orders) {
      if (!tryExecute(pool, lease, order)) {
        return;
      }
    }
  }

  private void confirmOrRevoke(FencingLease lease) {
    Duration readStartedAt = clock.elapsed();
    Optional<StoredObject> stored = store.get(AgentRegistration.KIND, agentName);
    boolean isOwnRegistration =
        stored
            .map(object -> Json.read(object.value(), AgentRegistration.class))
            .filter(registration -> registration.incarnation() == incarnation)
            .isPresent();
    if (isOwnRegistration) {
      lease.confirm(readStartedAt);
    } else {
      lease.revoke();
    }
  }

  private Set<String> readLoaded() {
    HttpCall call = new HttpCall("GET", "/v1/load", null, new byte[0]);
    HttpResponse response =
        BlockingCall.execute(client, backendServerEndpoint, call, Map.of(), CALL_TIMEOUT);
    Set<String> loaded = new HashSet<>();
    for (JsonNode name : Json.parse(response.text()).path("loaded")) {
      loaded.add(name.asText());
    }
    return loaded;
  }

  /**
   * Sends an order; a load is sent only if a load slot can be acquired. Returns whether the backend
   * server carried out the order.
   */
  private boolean tryExecute(PoolSpec pool, FencingLease lease, Order order) {
    boolean isLoad = order.action() == Order.Action.LOAD;
    if (isLoad && !slots.tryAcquire(pool.name(), agentName, pool.concurrentLoads())) {
      return false;
    }
    try {
      return trySend(lease, order);
    } finally {
      if (isLoad) {
        slots.release(pool.name(), agentName);
      }
    }
  }

  private boolean trySend(FencingLease lease, Order order) {
    byte[] body =
        JsonNodeFactory.instance
            .objectNode()
            .put("fencingNumber", incarnation)
            .put("action", order.action().name().toLowerCase(Locale.ROOT))
            .put("target", order.target())
            .toString()
            .getBytes(StandardCharsets.UTF_8);
    HttpCall call = new HttpCall("POST", "/v1/orders", "application/json", body);
    if (!lease.isValid(clock.elapsed())) {
      metrics.counter("orders.withheld").inc();
      return false;
    }
    HttpResponse response =
        BlockingCall.execute(client, backendServerEndpoint, call, Map.of(), CALL_TIMEOUT);
    boolean isDone = response.status() == OK;
    metrics.counter(isDone ? "orders.done" : "orders.refused").inc();
    return isDone;
  }
}
