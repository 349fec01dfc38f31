package org.wigeonstage.routes;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RoutingTableTest {

  private static final ConnectionLimits LIMITS =
      new ConnectionLimits(1000, 1000, Duration.ofSeconds(1), Duration.ofSeconds(1));

  private static Route route(String name, String host, String prefix, WeightedPool... pools) {
    return new Route(
        name,
        host,
        prefix,
        RouteKind.STREAMING,
        false,
        Duration.ofSeconds(1),
        Duration.ofMillis(100),
        Duration.ZERO,
        0,
        1,
        false,
        List.of(pools));
  }

  private static RoutingTable table(Route... routes) {
    return new RoutingTable(1, List.of(routes), List.of(), List.of(), LIMITS);
  }

  @Test
  void returnsTheRouteWithTheLongestMatchingPrefix() {
    RoutingTable table =
        table(
            route("short", "a", "/x/"),
            route("long", "a", "/x/y/"),
            route("other", "b", "/x/y/z/"));
    assertThat(table.route("a", "/x/y/z/1").map(Route::name)).contains("long");
    assertThat(table.route("a", "/x/z").map(Route::name)).contains("short");
    assertThat(table.route("a", "/x")).isEmpty();
    assertThat(table.route("c", "/x/y/")).isEmpty();
  }

  @Test
  void selectsPoolsByWeight() {
    Route route = route("r", "a", "/", new WeightedPool("most", 90), new WeightedPool("few", 10));
    assertThat(route.selectPool(0)).isEqualTo("most");
    assertThat(route.selectPool(0.89)).isEqualTo("most");
    assertThat(route.selectPool(0.91)).isEqualTo("few");
    assertThat(route.selectPool(0.9999)).isEqualTo("few");
  }

  @Test
  void returnsTheAccountThatOwnsAnApiKey() {
    ClientAccount account =
        new ClientAccount("shop", Set.of("h1", "h2"), 0, AccountQuota.UNLIMITED);
    RoutingTable table = new RoutingTable(1, List.of(), List.of(), List.of(account), LIMITS);
    assertThat(table.requiresApiKeys()).isTrue();
    assertThat(table.account("h2")).contains(account);
    assertThat(table.account("h3")).isEmpty();
  }

  @Test
  void allowsOnlyIdempotentRequestsAndResumableStreamsToRunMoreThanOnce() {
    Route stream = route("r", "a", "/");
    assertThat(stream.mayRunMoreThanOnce()).isFalse();
    assertThat(routeOfKind(RouteKind.IDEMPOTENT, false).mayRunMoreThanOnce()).isTrue();
    assertThat(routeOfKind(RouteKind.NON_IDEMPOTENT, true).mayRunMoreThanOnce()).isFalse();
    assertThat(routeOfKind(RouteKind.STREAMING, true).mayRunMoreThanOnce()).isTrue();
  }

  private static Route routeOfKind(RouteKind kind, boolean isResumable) {
    return new Route(
        "r",
        "a",
        "/",
        kind,
        isResumable,
        Duration.ofSeconds(1),
        Duration.ofMillis(100),
        Duration.ZERO,
        0,
        1,
        false,
        List.of());
  }

  @Test
  void chargesDeclaredTokensOrTheDefault() {
    AccountQuota quota = new AccountQuota(100, 100, true, 7);
    assertThat(quota.costOf(50)).isEqualTo(50);
    assertThat(quota.costOf(-1)).isEqualTo(7);
    assertThat(new AccountQuota(100, 100, false, 7).costOf(50)).isEqualTo(1);
  }
}
