package org.wigeonstage.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.io.Closer;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Polling;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.fleet.FleetStore;
import org.wigeonstage.fleet.GatewayRegistration;
import org.wigeonstage.fleet.ServerList;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.platform.standin.StoreStandin;
import org.wigeonstage.store.StoreException;

/** Tests that an odd entry of another writer does not affect the other entries of its list. */
class OddEntriesTest {

  /** The stack size of a gateway's threads. */
  private static final long STACK_BYTES = 256 * 1024;

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** Just below what the store allows for the content of an object. */
  private static final int ODD_BYTES = 1_000_000;

  private static final int LARGE_ENTRIES = 2;

  /** Less than a single one of the large entries. */
  private static final long MAX_KEPT_BYTES = ODD_BYTES;

  private static final String SOUND =
      """
      {"service": "engines", "address": "10.128.0.9:8080", "zone": "fd-a", "version": "v1",
       "slot_count": 14, "state": "ready", "cold_remaining_ms": 0, "sequence": 4}
      """;

  private final Closer closer = Closer.create();
  private final StoreStandin store =
      closer.register(StoreStandin.start(new Endpoint("127.0.0.1", 0)));
  private final FleetStore fleetStore =
      new PlatformAdapter(closer.register(HttpClient.start("test", 1)), store.endpoint())
          .fleetStore();

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  static Stream<String> oddEntries() {
    return Stream.of(
        SOUND.replace("8080", "99999"),
        SOUND.replace("8080", "0"),
        SOUND.replace("10.128.0.9", "10.128.0.999"),
        SOUND.replace("14", "2000000000"),
        SOUND.replace("14", "1".repeat(30)),
        SOUND.replace("14", "1".repeat(3000)),
        SOUND.replace("\"sequence\": 4", "\"sequence\": " + "4".repeat(30)),
        SOUND.replace("\"sequence\": 4", "\"sequence\": 4, \"x\": " + "4".repeat(3000)),
        SOUND.replace("\"sequence\": 4", "\"sequence\": 4, \"x\": 1e" + "9".repeat(3000)),
        SOUND.replace("\"v1\"", nested("[", "]", 5000)),
        SOUND.replace("\"v1\"", nested("{\"a\":", "}", 5000)),
        SOUND.replace("\"sequence\": 4", "\"sequence\": 4, \"x\": " + nested("[", "]", 200_000)),
        nested("[", "]", 5000),
        SOUND.replace("\"v1\"", "\"" + "v".repeat(100_000) + "\""),
        SOUND.replace("\"v1\"", "\"\\ud800\", \"zone\": [\"}]\"]"),
        SOUND.replace("\"v1\"", "1, 2"),
        SOUND.replace("\"v1\"", "nonsense"),
        "null",
        "17",
        "\"text\"",
        "[]",
        "{}");
  }

  private static String nested(String open, String close, int depth) {
    return open.repeat(depth) + "1" + close.repeat(depth);
  }

  private static List<String> idsOf(ServerList list) {
    return list.servers().stream().map(BackendServer::id).toList();
  }

  /** Runs a call on a thread with the stack of a gateway's threads. */
  private static <T> T onSmallStack(Supplier<T> call) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    new Thread(null, () -> complete(result, call), "small-stack", STACK_BYTES).start();
    return result.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  private static <T> void complete(CompletableFuture<T> result, Supplier<T> call) {
    try {
      result.complete(call.get());
    } catch (Throwable e) {
      result.completeExceptionally(e);
    }
  }

  private void writeSound(String name) {
    store.writeRaw("servers", name, SOUND);
  }

  @ParameterizedTest
  @MethodSource("oddEntries")
  void otherServersOfTheListAreRead(String odd) throws Exception {
    writeSound("a");
    store.writeRaw("servers", "b", odd);
    writeSound("c");
    ServerList list = onSmallStack(fleetStore::readServers);
    assertThat(idsOf(list)).containsExactly("a", "c");
    assertThat(list.unreadable()).isEqualTo(1);
  }

  @ParameterizedTest
  @MethodSource("oddEntries")
  void otherServersOfTheFollowingPagesAreRead(String odd) throws Exception {
    store.setPageSize(1);
    writeSound("a");
    store.writeRaw("servers", "b", odd);
    writeSound("c");
    assertThat(idsOf(onSmallStack(fleetStore::readServers))).containsExactly("a", "c");
  }

  @ParameterizedTest
  @MethodSource("oddEntries")
  void changesAreFollowedBesideAnOddOne(String odd) throws Exception {
    writeSound("a");
    fleetStore.readServers();
    store.writeRaw("servers", "b", odd);
    writeSound("c");
    ServerList list = onSmallStack(() -> fleetStore.awaitServers(TIMEOUT));
    assertThat(idsOf(list)).containsExactly("a", "c");
  }

  @Test
  void aServerWhoseEntryBecomesOddIsNoLongerUsed() {
    writeSound("a");
    writeSound("b");
    fleetStore.readServers();
    store.writeRaw("servers", "a", "{\"x\": " + "1".repeat(3000) + "}");
    assertThat(idsOf(fleetStore.awaitServers(TIMEOUT))).containsExactly("b");
    writeSound("a");
    assertThat(idsOf(fleetStore.awaitServers(TIMEOUT))).containsExactly("a", "b");
  }

  @ParameterizedTest
  @MethodSource("oddEntries")
  void otherGatewaysOfTheListAreRead(String odd) throws Exception {
    fleetStore.register(new GatewayRegistration("g1", new Endpoint("10.0.0.1", 7600)));
    store.writeRaw("gateways", "g2", odd.replace("10.128.0.9:8080", "10.0.0.2:77777"));
    fleetStore.register(new GatewayRegistration("g3", new Endpoint("10.0.0.3", 7600)));
    assertThat(onSmallStack(fleetStore::readGateways))
        .extracting(GatewayRegistration::name)
        .containsExactly("g1", "g3");
  }

  @Test
  void namesThatNeedEscapingDoNotStopThePaging() {
    store.setPageSize(1);
    for (String name : List.of("a", "b&after=z#/?", "c d", "e")) {
      writeSound(name);
    }
    assertThat(idsOf(fleetStore.readServers())).containsExactly("a", "b&after=z#/?", "e");
  }

  @Test
  void anOddConfigurationIsReportedAndNotRead() throws Exception {
    store.write("config", "main", JsonNodeFactory.instance.objectNode().put("version", 3));
    assertThat(fleetStore.readConfiguration().orElseThrow().table().version()).isEqualTo(3);
    store.writeRaw("config", "main", nested("[", "]", 5000));
    assertThatThrownBy(() -> onSmallStack(fleetStore::readConfiguration))
        .cause()
        .isInstanceOfSatisfying(
            StoreException.class,
            e -> assertThat(e.code()).isEqualTo(ErrorCode.INVALID_CONFIGURATION));
    store.write("config", "main", JsonNodeFactory.instance.objectNode().put("version", 4));
    assertThat(fleetStore.readConfiguration().orElseThrow().table().version()).isEqualTo(4);
  }

  /** Backend servers would receive another name, perhaps that of another account. */
  @ParameterizedTest
  @ValueSource(strings = {"a\r\nTenant: b", "a\nb", "a\u0000", " a", "a\t", "a\u007f", "\ud800"})
  void aConfigurationWithAnAccountNameThatCannotBeSentIsNotRead(String name) {
    ObjectNode spec = JsonNodeFactory.instance.objectNode().put("version", 3);
    spec.putArray("tenants").addObject().put("name", name).putArray("api_keys").add("k");
    assertThatThrownBy(() -> RoutingDecoder.decode(spec))
        .isInstanceOfSatisfying(
            WigeonstageException.class,
            e -> assertThat(e.code()).isEqualTo(ErrorCode.INVALID_CONFIGURATION));
  }

  @Test
  void aConfigurationIsReadBesideAnOddObjectOfItsKind() throws Exception {
    store.writeRaw("config", "draft", nested("{\"a\":", "}", 5000));
    store.write("config", "main", JsonNodeFactory.instance.objectNode().put("version", 3));
    assertThat(onSmallStack(fleetStore::readConfiguration).orElseThrow().table().version())
        .isEqualTo(3);
  }

  /** A change that can't be read must not be delivered again and again. */
  @Test
  void anOddChangeIsDeliveredOnce() throws Exception {
    writeSound("a");
    fleetStore.readServers();
    store.writeRaw("servers", "b", nested("[", "]", 5000));
    fleetStore.awaitServers(TIMEOUT);
    CompletableFuture<ServerList> next =
        CompletableFuture.supplyAsync(() -> fleetStore.awaitServers(TIMEOUT));
    assertThat(Polling.await(() -> store.watchCount() == 1, TIMEOUT)).isTrue();
    writeSound("c");
    assertThat(idsOf(next.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS))).containsExactly("a", "c");
  }

  private static String repeated(String item) {
    return "[" + (item + ",").repeat(ODD_BYTES / (item.length() + 1)) + item + "]";
  }

  static Stream<String> largeContents() {
    String lists = repeated(nested("[", "]", 95));
    String objects = repeated("{}");
    return Stream.of(
        "{\"service\": 7, \"parts\": " + lists + "}",
        "{\"service\": 7, \"parts\": " + objects + "}",
        lists,
        SOUND.replace("\"engines\"", objects),
        SOUND.replace("\"fd-a\"", "\"" + "z".repeat(ODD_BYTES) + "\""),
        SOUND.replace("\"sequence\"", "\"more\": " + lists + ", \"sequence\""),
        SOUND.replace("\"sequence\"", "\"more\": " + objects + ", \"sequence\""),
        SOUND.replace("\"sequence\"", "\"more\": {\"x\": " + objects + "}, \"sequence\""));
  }

  private static long usedHeap() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /**
   * Guards against gateways without heap: the content of another writer's entries was kept as a
   * tree of up to 54 times their size.
   */
  @ParameterizedTest
  @MethodSource("largeContents")
  void contentThatNobodyReadsIsNotKept(String content) {
    writeSound("a");
    for (int i = 0; i < LARGE_ENTRIES; i++) {
      store.writeRaw("servers", "large-" + i, content);
      store.writeRaw("gateways", "large-" + i, content);
      store.writeRaw("config", "large-" + i, content);
    }
    store.write("config", "main", JsonNodeFactory.instance.objectNode().put("version", 3));
    long before = usedHeap();
    ServerList servers = fleetStore.readServers();
    List<GatewayRegistration> gateways = fleetStore.readGateways();
    long version = fleetStore.readConfiguration().orElseThrow().table().version();
    assertThat(usedHeap() - before).isLessThan(MAX_KEPT_BYTES);
    assertThat(idsOf(servers)).contains("a");
    assertThat(version).isEqualTo(3);
    assertThat(gateways).hasSizeLessThanOrEqualTo(LARGE_ENTRIES);
  }

  /** Guards against a server that gets nothing because its entry has one more field. */
  @Test
  void aSoundEntryWithALargeUnknownFieldIsUsed() {
    String more = "\"more\": " + repeated(nested("[", "]", 95)) + ", \"sequence\"";
    store.writeRaw("servers", "b", SOUND.replace("\"sequence\"", more));
    assertThat(idsOf(fleetStore.readServers())).containsExactly("b");
  }

  /** Guards against a list that can't be read because of one name. */
  @Test
  void aLongNameDoesNotStopThePaging() {
    store.setPageSize(1);
    writeSound("a");
    writeSound("b" + "x".repeat(2000));
    writeSound("c");
    assertThat(idsOf(fleetStore.readServers())).containsExactly("a", "c");
  }
}
