package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.forward.AttemptFields;
import org.wigeonstage.forward.HeaderCodec;
import org.wigeonstage.forward.RequestFields;
import org.wigeonstage.http.OutboundCall;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.placement.Urgency;
import org.wigeonstage.routes.ClientAccount;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RoutingTable;

/** A caller's request, with the results of the {@link InboundFilter}s. */
final class InboundRequest {

  private final ServerExchange exchange;
  private final RequestFields fields;
  private final Duration arrivedAt;
  private final Duration readAt;
  private @Nullable RoutingTable table;
  private @Nullable Route route;
  private Optional<ClientAccount> account = Optional.empty();
  private long quotaUnits;
  private volatile boolean disconnected;

  InboundRequest(
      ServerExchange exchange, RequestFields fields, Duration arrivedAt, Duration readAt) {
    this.exchange = exchange;
    this.fields = fields;
    this.arrivedAt = arrivedAt;
    this.readAt = readAt;
  }

  /** Records that the caller closed its connection. */
  void markDisconnected() {
    disconnected = true;
  }

  boolean isDisconnected() {
    return disconnected;
  }

  ServerExchange exchange() {
    return exchange;
  }

  RequestFields fields() {
    return fields;
  }

  /** Returns when the request was read, which is after its arrival if the process was busy. */
  Duration readAt() {
    return readAt;
  }

  /** Returns when the request is estimated to have arrived. */
  Duration arrivedAt() {
    return arrivedAt;
  }

  /** Returns the call to a backend server that forwards the request. */
  OutboundCall outboundCall(HeaderCodec codec, AttemptFields attemptFields) {
    return new OutboundCall(
        exchange.method(),
        exchange.pathAndQuery(),
        Optional.ofNullable(exchange.header("Host")).orElse(""),
        codec.encodeRequest(fields, attemptFields),
        exchange.body());
  }

  void setTable(RoutingTable currentTable) {
    table = currentTable;
  }

  RoutingTable table() {
    return requireSet(table, "routing table");
  }

  void setRoute(Route matchingRoute) {
    route = matchingRoute;
  }

  Route route() {
    return requireSet(route, "route");
  }

  Optional<Route> routeIfKnown() {
    return Optional.ofNullable(route);
  }

  void setAccount(ClientAccount authenticatedAccount) {
    account = Optional.of(authenticatedAccount);
  }

  Optional<ClientAccount> account() {
    return account;
  }

  /** Returns the urgency, from the ranks of the account and the route. */
  Urgency urgency() {
    return new Urgency(account.map(ClientAccount::rank).orElse(0), route().rank());
  }

  /** Records the units acquired from the account's quota. */
  void setQuotaUnits(long acquiredUnits) {
    quotaUnits = acquiredUnits;
  }

  long quotaUnits() {
    return quotaUnits;
  }

  private static <T> T requireSet(@Nullable T value, String name) {
    if (value == null) {
      throw new IllegalStateException("the " + name + " of the request has not been set");
    }
    return value;
  }
}
