package org.wigeonstage.console;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.Lists;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.KeyHash;
import org.wigeonstage.config.AcceptedChange;
import org.wigeonstage.config.ConfigurationRecord;
import org.wigeonstage.config.ConfigurationWriter;
import org.wigeonstage.http.OperatorKeys;
import org.wigeonstage.http.RequestHandler;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.store.ObjectStore;
import org.wigeonstage.store.StoreException;

/**
 * Serves the pages of the operators' console. {@link #handle} blocks while it calls the platform.
 */
public final class ConsoleHandler implements RequestHandler {

  /** The path that the console's pages begin with. */
  public static final String ROOT = "/console";

  private static final String HTML = "text/html; charset=utf-8";
  private static final String SIGN_IN = ROOT + "/sign-in";
  private static final int OK = 200;
  private static final int SEE_OTHER = 303;
  private static final int FORBIDDEN = 403;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final Sessions sessions;
  private final ObjectStore store;
  private final EditPages edits;
  private final Supplier<JsonNode> status;

  /**
   * Creates a console.
   *
   * @param keys the operators' keys
   * @param store the platform's object API
   * @param writer writes changes
   * @param status returns the status of this entry and its agents, as JSON
   * @param clock the wall clock
   */
  public ConsoleHandler(
      OperatorKeys keys,
      ObjectStore store,
      ConfigurationWriter writer,
      Supplier<JsonNode> status,
      InstantSource clock) {
    this.sessions = new Sessions(keys, clock);
    this.store = store;
    this.edits = new EditPages(store, writer, clock);
    this.status = status;
  }

  @Override
  public void handle(ServerExchange exchange) {
    if (exchange.path().equals(SIGN_IN)) {
      signIn(exchange);
      return;
    }
    Optional<String> formToken = sessions.formTokenOf(exchange.header("Cookie"));
    if (formToken.isEmpty()) {
      redirect(exchange, SIGN_IN, Map.of());
      return;
    }
    try {
      handle(exchange, formToken.get());
    } catch (StoreException e) {
      Html page =
          new Html().message("error", "The platform can't be reached. Nothing was changed.");
      exchange.respond(UNAVAILABLE, HTML, page.page("Platform unavailable"));
    }
  }

  private void handle(ServerExchange exchange, String formToken) {
    if (exchange.method().equals("POST")) {
      post(exchange, formToken);
      return;
    }
    String[] parts = exchange.path().split("/", -1);
    String section = parts.length > 2 ? parts[2] : "";
    Optional<FormKind> kind = FormKind.ofPath(section);
    if (exchange.path().equals(ROOT) || exchange.path().equals(ROOT + "/")) {
      exchange.respond(OK, HTML, statusPage());
    } else if (section.equals("history")) {
      exchange.respond(OK, HTML, historyPage());
    } else if (kind.isPresent() && parts.length == 3) {
      exchange.respond(OK, HTML, edits.list(kind.get()));
    } else if (kind.isPresent() && parts.length == 4 && parts[3].equals("edit")) {
      String index = exchange.parameter("index");
      exchange.respond(OK, HTML, edits.form(kind.get(), index == null ? "new" : index, formToken));
    } else {
      exchange.respond(
          NOT_FOUND, HTML, new Html().element("p", "There is no such page.").page("Not found"));
    }
  }

  private void post(ServerExchange exchange, String formToken) {
    FormData form = FormData.of(exchange.text());
    if (!KeyHash.constantTimeEquals(form.get("formToken"), formToken)) {
      Html page = new Html().message("error", "This form does not belong to your session.");
      exchange.respond(FORBIDDEN, HTML, page.page("Refused"));
      return;
    }
    String[] parts = exchange.path().split("/", -1);
    Optional<FormKind> kind = parts.length > 2 ? FormKind.ofPath(parts[2]) : Optional.empty();
    if (kind.isEmpty()) {
      exchange.respond(NOT_FOUND, HTML, new Html().page("Not found"));
      return;
    }
    EditResult result = edits.submit(kind.get(), form, formToken);
    exchange.respond(result.status(), HTML, result.page());
  }

  private void signIn(ServerExchange exchange) {
    if (!exchange.method().equals("POST")) {
      exchange.respond(OK, HTML, signInPage(""));
      return;
    }
    Optional<String> cookie = sessions.signIn(FormData.of(exchange.text()).get("key"));
    if (cookie.isEmpty()) {
      exchange.respond(FORBIDDEN, HTML, signInPage("This is not a valid operator key."));
      return;
    }
    String cookieWithAttributes =
        Sessions.COOKIE + "=" + cookie.get() + "; Path=/console; HttpOnly; SameSite=Strict";
    redirect(exchange, ROOT, Map.of("Set-Cookie", cookieWithAttributes));
  }

  private static String signInPage(String error) {
    Html page = new Html();
    if (!error.isEmpty()) {
      page.message("error", error);
    }
    return page.raw("<form method=\"post\"><label for=\"key\">Operator's key</label>")
        .raw("<input type=\"password\" id=\"key\" name=\"key\" autofocus required>")
        .raw("<button>Sign in</button></form>")
        .page("Sign in");
  }

  private static void redirect(ServerExchange exchange, String target, Map<String, String> fields) {
    Map<String, String> all = new HashMap<>(fields);
    all.put("Location", target);
    exchange.respond(SEE_OTHER, HTML, all, target.getBytes(StandardCharsets.UTF_8));
  }

  private String statusPage() {
    JsonNode current = status.get();
    Html page = new Html();
    page.element(
        "p",
        "Entry "
            + current.path("name").asText()
            + ", configuration version "
            + current.path("configVersion").asText()
            + ", open requests "
            + current.path("openRequests").asText());
    page.raw("<table><thead><tr><th>Agent</th><th>Failure domain</th><th>Connected</th>");
    page.raw(
        "<th>Accepts requests</th><th>Running</th><th>Window</th><th>Waiting</th></tr></thead>");
    page.raw("<tbody>");
    for (JsonNode agent : current.path("agents")) {
      page.raw("<tr>");
      for (String name :
          new String[] {
            "name", "failureDomain", "connected", "available", "running", "window", "waiting"
          }) {
        page.element("td", agent.path(name).asText());
      }
      page.raw("</tr>");
    }
    return page.raw("</tbody></table>").page("Status");
  }

  private String historyPage() {
    Html page = new Html();
    page.raw("<table><thead><tr><th>When</th><th>Who</th><th>Summary</th><th>Changed</th></tr>");
    page.raw("</thead><tbody>");
    store
        .get(ConfigurationRecord.KIND, ConfigurationRecord.NAME)
        .map(object -> Json.read(object.value(), ConfigurationRecord.class))
        .ifPresent(
            stored -> Lists.reverse(stored.history()).forEach(change -> addChange(page, change)));
    return page.raw("</tbody></table>").page("History");
  }

  static void addChange(Html page, AcceptedChange change) {
    page.raw("<tr>");
    page.element("td", Instant.ofEpochMilli(change.atMillis()).toString());
    page.element("td", change.author());
    page.element("td", change.summary());
    page.raw("<td>");
    change.differences().forEach(line -> page.element("div", line));
    page.raw("</td></tr>");
  }
}
