import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The operator adds tenants whose names have letters outside of ASCII, and clients name a model with
 * such a letter. The runners compare the tenant and the model that they receive with those of the
 * client.
 */
final class TenantNames {

  private static final String HOST = "review.example";
  private static final List<String> PLAIN_TENANTS = List.of("Canete", "Curacautin", "Aza");
  private static final List<String> ADDED_TENANTS =
      List.of("Ca\u00f1ete", "Curacaut\u00edn", "Lonqu\u00e9n", "Lonqu\u00edn", "\u0141za");
  private static final int ROUNDS = 5;

  /** What a runner received with a request, in the bytes of the header field. */
  private record Received(String tenant, String model) {}

  private final Rig rig;
  private final Map<String, Received> receivedById = new ConcurrentHashMap<>();
  private int wrongTenants;
  private int wrongModels;
  private int served;

  private TenantNames(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) throws Exception {
    System.exit(run(Path.of(args[0])));
  }

  private static int run(Path recordFile) throws Exception {
    try (Rig rig = new Rig(recordFile)) {
      return new TenantNames(rig).play();
    } catch (IOException e) {
      e.printStackTrace();
      return Rig.NOT_RUN;
    }
  }

  private int play() throws Exception {
    Map<String, String> tenantsByKey = new LinkedHashMap<>();
    PLAIN_TENANTS.forEach(name -> tenantsByKey.put("key-" + tenantsByKey.size(), name));
    configure(1, tenantsByKey);
    for (int i = 1; i <= 4; i++) {
      rig.startRunner("runner-" + i, "portal", 6, this::handle);
    }
    Rig.GatewayProcessHandle gateway = rig.startGateway("gateway-1");
    Thread.sleep(500);
    if (rig.trouble) {
      ADDED_TENANTS.forEach(name -> tenantsByKey.put("key-" + tenantsByKey.size(), name));
    } else {
      List.of("Lonquen", "Lonquin").forEach(
          name -> tenantsByKey.put("key-" + tenantsByKey.size(), name));
    }
    configure(2, tenantsByKey);
    Thread.sleep(3000); // the configuration is in force 2 s after its acknowledgement
    Map<String, Set<String>> tenantsByHeader = new LinkedHashMap<>();
    int number = 0;
    for (int round = 0; round < ROUNDS; round++) {
      for (Map.Entry<String, String> entry : tenantsByKey.entrySet()) {
        String id = "order-" + number++;
        String model = rig.trouble ? "auditor\u00eda" : "auditoria";
        send(gateway, id, entry.getKey(), model);
        Received received = receivedById.get(id);
        if (received != null) {
          check(id, entry.getValue(), model, received, tenantsByHeader);
        }
      }
    }
    tenantsByHeader.forEach(
        (header, names) -> {
          if (names.size() > 1) {
            rig.log("the runners cannot tell apart the tenants " + names);
          }
        });
    rig.log(
        "answered 200: "
            + served
            + ", run with another tenant: "
            + wrongTenants
            + ", run with another model: "
            + wrongModels);
    if (served == 0) {
      return Rig.NOT_RUN;
    }
    return wrongTenants + wrongModels > 0 ? Rig.BROKEN : Rig.HELD;
  }

  private void configure(int version, Map<String, String> tenantsByKey) {
    ObjectNode spec = JsonNodeFactory.instance.objectNode().put("version", version);
    spec.putArray("routes").add(Rig.route("order", "non_idempotent", "portal", 1));
    spec.putArray("services").addObject().put("name", "portal").put("health_path", "/healthz");
    ArrayNode tenants = spec.putArray("tenants");
    tenantsByKey.forEach(
        (key, name) -> tenants.addObject().put("name", name).putArray("api_keys").add(key));
    rig.store.write("config", "main", spec);
    rig.log("operator: configuration " + version + " with the tenants " + tenantsByKey.values());
  }

  private void send(Rig.GatewayProcessHandle gateway, String id, String key, String model) {
    String modelField = new String(model.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    try (Client client = new Client(gateway.callersPort(), 5000)) {
      client.send(
          "POST",
          "/order/x",
          HOST,
          List.of(
              "Attempt-Id: " + id,
              "Deadline-Ms: 1000",
              "Credential: " + key,
              "Model: " + modelField),
          "order".getBytes(StandardCharsets.US_ASCII));
      Client.Answer answer = client.receive();
      rig.log("client receives " + answer.status() + " for " + id);
      served += answer.status() == 200 ? 1 : 0;
    } catch (IOException e) {
      rig.log("client receives no answer for " + id + ": " + e.getMessage());
    }
  }

  private void check(
      String id,
      String tenant,
      String model,
      Received received,
      Map<String, Set<String>> tenantsByHeader) {
    tenantsByHeader.computeIfAbsent(received.tenant(), key -> new TreeSet<>()).add(tenant);
    if (!isEncodingOf(received.tenant(), tenant)) {
      wrongTenants++;
      rig.log("UNASKED: " + id + " of tenant " + tenant + " runs for '" + received.tenant() + "'");
    }
    if (!isEncodingOf(received.model(), model)) {
      wrongModels++;
      rig.log("UNASKED: " + id + " for model " + model + " runs for '" + received.model() + "'");
    }
  }

  /** Returns whether a field holds a text, in UTF-8, in ISO 8859-1 or with percent encoding. */
  private static boolean isEncodingOf(String field, String text) {
    String utf8 =
        new String(field.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    return field.equals(text)
        || utf8.equals(text)
        || (field.contains("%") && URLDecoder.decode(field, StandardCharsets.UTF_8).equals(text));
  }

  private boolean handle(Runner.Request request, Runner.Connection connection) throws Exception {
    String id = request.attemptId();
    receivedById.put(
        id,
        new Received(
            request.fields().getOrDefault("tenant", ""),
            request.fields().getOrDefault("model", "")));
    connection.runner().recordRun(request);
    connection.write(
        "HTTP/1.1 200 OK\r\nAttempt-Id: "
            + id
            + "\r\nResponse-Signature: s-"
            + id
            + "\r\nContent-Length: 4\r\n\r\ndone");
    return true;
  }
}
