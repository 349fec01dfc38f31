package org.wigeonstage.console;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.Json;
import org.wigeonstage.config.ChangeRequest;
import org.wigeonstage.config.ConfigurationRecord;
import org.wigeonstage.config.ConfigurationWriter;
import org.wigeonstage.http.BlockingCall;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.http.HttpResponse;
import org.wigeonstage.http.HttpServer;
import org.wigeonstage.http.OperatorKeys;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.standin.PlatformFaults;
import org.wigeonstage.standin.PlatformStandin;
import org.wigeonstage.store.HttpObjectStore;

class ConsoleHandlerTest {

  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);
  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final String DOCUMENT =
      "{\"tiers\":[{\"name\":\"high\",\"startWithinMillis\":1,\"finishWithinMillis\":2},"
          + "{\"name\":\"low\",\"startWithinMillis\":1,\"finishWithinMillis\":2}],"
          + "\"accounts\":[],\"pools\":[],\"rules\":[]}";

  private HttpClient client;
  private PlatformStandin platform;
  private HttpServer server;
  private HttpObjectStore store;
  private ConfigurationWriter writer;
  private String cookie;

  @BeforeEach
  void start() {
    client = HttpClient.start("test", 1);
    platform = PlatformStandin.start(ANY_PORT);
    store = new HttpObjectStore(client, platform.endpoint());
    writer = new ConfigurationWriter(store, () -> NOW);
    writer.submit(new ChangeRequest("first", "test", "", 0, Json.parse(DOCUMENT)));
    String hash = Hashing.sha256().hashString("key", StandardCharsets.UTF_8).toString();
    OperatorKeys keys = new OperatorKeys(List.of(hash));
    ConsoleHandler console =
        new ConsoleHandler(keys, store, writer, () -> Json.parse("{}"), () -> NOW);
    server =
        HttpServer.start(
            "console",
            ANY_PORT,
            100_000,
            exchange -> new Thread(() -> console.handle(exchange)).start());
    cookie = Sessions.COOKIE + "=" + new Sessions(keys, () -> NOW).signIn("key").orElseThrow();
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    platform.close();
    client.close();
  }

  private HttpResponse get(String path, String sessionCookie) {
    HttpCall call = new HttpCall("GET", path, null, new byte[0]);
    return BlockingCall.execute(
        client, server.endpoint(), call, Map.of("Cookie", sessionCookie), Duration.ofSeconds(10));
  }

  private HttpResponse post(String path, Map<String, String> form) {
    StringBuilder body = new StringBuilder();
    form.forEach(
        (name, value) ->
            body.append(body.isEmpty() ? "" : "&")
                .append(name)
                .append('=')
                .append(URLEncoder.encode(value, StandardCharsets.UTF_8)));
    HttpCall call =
        new HttpCall(
            "POST",
            path,
            "application/x-www-form-urlencoded",
            body.toString().getBytes(StandardCharsets.UTF_8));
    return BlockingCall.execute(
        client, server.endpoint(), call, Map.of("Cookie", cookie), Duration.ofSeconds(20));
  }

  /** Returns the fields of the form on a page, with the values that it shows. */
  private static Map<String, String> formOn(String page) {
    Map<String, String> form = new LinkedHashMap<>();
    Matcher input = Pattern.compile("<input type=\"(hidden|text)\"([^>]*)>").matcher(page);
    while (input.find()) {
      form.put(attribute(input.group(2), "name"), attribute(input.group(2), "value"));
    }
    form.put("action", "save");
    return form;
  }

  private static String attribute(String attributes, String name) {
    Matcher matcher = Pattern.compile("(?:^| )" + name + "=\"([^\"]*)\"").matcher(attributes);
    return matcher.find() ? matcher.group(1).replace("&quot;", "\"") : "";
  }

  private ConfigurationRecord stored() {
    return Json.read(
        store.get(ConfigurationRecord.KIND, ConfigurationRecord.NAME).orElseThrow().value(),
        ConfigurationRecord.class);
  }

  @Test
  void aRequestWithoutAValidSessionIsRedirectedToTheSignIn() {
    assertThat(get("/console/tiers", "").status()).isEqualTo(303);
    assertThat(get("/console/tiers", Sessions.COOKIE + "=1.forged").status()).isEqualTo(303);
  }

  @Test
  void aSavedFormSubmitsTheEditedDocument() {
    Map<String, String> form = formOn(get("/console/tiers/edit?index=0", cookie).text());
    form.put("startWithinMillis", "2");
    assertThat(post("/console/tiers/edit", form).status()).isEqualTo(200);
    assertThat(stored().document().at("/tiers/0/startWithinMillis").asInt()).isEqualTo(2);
    assertThat(stored().history().get(1).differences())
        .containsExactly("/tiers/0/startWithinMillis: 1 -> 2");
  }

  @Test
  void aFormWithoutItsTokenIsRefused() {
    Map<String, String> form = formOn(get("/console/tiers/edit?index=0", cookie).text());
    form.put("formToken", "forged");
    assertThat(post("/console/tiers/edit", form).status()).isEqualTo(403);
    assertThat(stored().history()).hasSize(1);
  }

  @Test
  void anInvalidFormIsRefusedAndKeepsTheInput() {
    Map<String, String> form = formOn(get("/console/tiers/edit?index=0", cookie).text());
    form.put("startWithinMillis", "soon");
    HttpResponse response = post("/console/tiers/edit", form);
    assertThat(response.status()).isEqualTo(400);
    assertThat(response.text()).contains("value=\"soon\"").contains("nothing has taken effect");
    assertThat(stored().history()).hasSize(1);
  }

  @Test
  void aVersionConflictReturnsTheFormForTheSameObjectAtItsNewIndex() {
    Map<String, String> form = formOn(get("/console/tiers/edit?index=1", cookie).text());
    form.put("startWithinMillis", "2");
    Map<String, String> other = formOn(get("/console/tiers/edit?index=0", cookie).text());
    other.put("action", "remove");
    assertThat(post("/console/tiers/edit", other).status()).isEqualTo(200);
    HttpResponse conflict = post("/console/tiers/edit", form);
    assertThat(conflict.status()).isEqualTo(409);
    Map<String, String> again = formOn(conflict.text());
    assertThat(again).containsEntry("index", "0").containsEntry("startWithinMillis", "2");
    assertThat(post("/console/tiers/edit", again).status()).isEqualTo(200);
    assertThat(stored().document().path("tiers")).hasSize(1);
    assertThat(stored().document().at("/tiers/0/name").asText()).isEqualTo("low");
  }

  @Test
  void aFormIsRefusedDuringAPlatformOutage() {
    Map<String, String> form = formOn(get("/console/tiers/edit?index=0", cookie).text());
    platform.faults(new PlatformFaults(true, 0, false));
    HttpResponse response = post("/console/tiers/edit", form);
    assertThat(response.status()).isEqualTo(503);
    assertThat(response.text()).contains("nothing has taken effect");
  }

  @Test
  void markupInTextIsEscaped() {
    assertThat(new Html().element("td", "<script>").page("x")).contains("&lt;script&gt;");
  }
}
