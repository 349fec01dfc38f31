package org.wigeonstage.console;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.InvalidDocumentException;
import org.wigeonstage.common.Json;
import org.wigeonstage.config.ChangeRequest;
import org.wigeonstage.config.ChangeResult;
import org.wigeonstage.config.ConfigurationDocument;
import org.wigeonstage.config.ConfigurationRecord;
import org.wigeonstage.config.ConfigurationWriter;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.store.ObjectStore;
import org.wigeonstage.store.StoreException;
import org.wigeonstage.store.StoredObject;

/** The pages that list and edit the objects of the configuration document. */
final class EditPages {

  private static final String NEW = "new";
  private static final int OK = 200;
  private static final Field AUTHOR =
      new Field("author", "Your name", Field.Type.TEXT, "shown in the history");
  private static final Field SUMMARY =
      new Field("summary", "Reason", Field.Type.TEXT, "shown in the history");

  private final ObjectStore store;
  private final ConfigurationWriter writer;
  private final InstantSource clock;

  /** The document in the platform's object store, with its version; 0 if there is none. */
  private record StoredConfiguration(long version, JsonNode document) {}

  EditPages(ObjectStore store, ConfigurationWriter writer, InstantSource clock) {
    this.store = store;
    this.writer = writer;
    this.clock = clock;
  }

  private StoredConfiguration loadConfiguration() {
    Optional<StoredObject> stored = store.get(ConfigurationRecord.KIND, ConfigurationRecord.NAME);
    if (stored.isEmpty()) {
      return new StoredConfiguration(0, Json.toTree(ConfigurationDocument.EMPTY));
    }
    StoredObject object = stored.get();
    JsonNode document = Json.read(object.value(), ConfigurationRecord.class).document();
    return new StoredConfiguration(object.version(), document);
  }

  /** Returns the page that lists all objects of a kind. */
  String list(FormKind kind) {
    JsonNode objects = loadConfiguration().document().path(kind.path());
    Html page = new Html().raw("<table><thead><tr>");
    kind.fields().stream()
        .filter(field -> field.type() != Field.Type.NEW_KEY)
        .forEach(field -> page.element("th", field.label()));
    page.raw("<th></th></tr></thead><tbody>");
    for (int i = 0; i < objects.size(); i++) {
      addRow(page, kind, objects.path(i), i);
    }
    page.raw("</tbody></table><p>");
    page.link(editPath(kind, NEW), "Add a " + kind.noun()).raw("</p>");
    return page.page(kind.title());
  }

  private static void addRow(Html page, FormKind kind, JsonNode object, int index) {
    FormData values = FormMapper.toForm(kind, object);
    page.raw("<tr>");
    for (Field field : kind.fields()) {
      switch (field.type()) {
        case NEW_KEY -> {}
        case BOOLEAN -> page.element("td", values.get(field.name()).equals("on") ? "yes" : "no");
        case LINES ->
            page.element(
                "td",
                field.name().equals("keyHashes")
                    ? object.path("keyHashes").size() + " stored"
                    : values.get(field.name()));
        default -> page.element("td", values.get(field.name()));
      }
    }
    page.raw("<td>").link(editPath(kind, Integer.toString(index)), "Edit").raw("</td></tr>");
  }

  private static String editPath(FormKind kind, String index) {
    return ConsoleHandler.ROOT + "/" + kind.path() + "/edit?index=" + index;
  }

  /** Returns the form for one object, or for a new one. */
  String form(FormKind kind, String index, String formToken) {
    StoredConfiguration current = loadConfiguration();
    JsonNode object =
        index.equals(NEW)
            ? MissingNode.getInstance()
            : current.document().path(kind.path()).path(parseIndex(index));
    Map<String, String> values = new LinkedHashMap<>(FormMapper.toForm(kind, object).values());
    values.put("index", index);
    values.put("base", Long.toString(current.version()));
    values.put("original", object.toString());
    values.put("submission", RequestId.create(clock.instant()).value());
    return formPage(new Html(), kind, new FormData(values), formToken);
  }

  /** Returns the index as a number, or -1 if it is not a number, as for a new object. */
  private static int parseIndex(String index) {
    try {
      return Integer.parseInt(index);
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private static String formPage(Html page, FormKind kind, FormData values, String formToken) {
    page.raw("<form method=\"post\" action=\"/console/" + kind.path() + "/edit\">");
    page.hidden("formToken", formToken)
        .hidden("index", values.get("index"))
        .hidden("base", values.get("base"))
        .hidden("original", values.get("original"))
        .hidden("submission", values.get("submission"));
    for (Field field : kind.fields()) {
      page.field(field, values.get(field.name()));
    }
    page.field(AUTHOR, values.get(AUTHOR.name()));
    page.field(SUMMARY, values.get(SUMMARY.name()));
    page.raw("<button name=\"action\" value=\"save\">Save</button> ");
    if (!values.get("index").equals(NEW)) {
      page.raw("<button name=\"action\" value=\"remove\">Remove</button>");
    }
    page.raw("</form>");
    boolean isNew = values.get("index").equals(NEW);
    return page.page((isNew ? "Add a " : "Edit a ") + kind.noun());
  }

  /**
   * Submits a form. If the change is not accepted, the page shows the form again with the input.
   */
  EditResult submit(FormKind kind, FormData form, String formToken) {
    try {
      long formBase = Long.parseLong(form.get("base"));
      Optional<ChangeResult> decision = writer.findDecision(form.get("submission"), formBase);
      ChangeResult result =
          decision.isPresent()
              ? decision.get()
              : writer.submit(
                  requestOf(form, formBase, applyEdit(kind, form, loadConfiguration().document())));
      return resultPage(kind, form, formToken, result);
    } catch (InvalidDocumentException e) {
      Html page = new Html().message("error", "Refused; nothing has taken effect.");
      page.raw("<ul>");
      e.faults().forEach(fault -> page.element("li", fault.toString()));
      page.raw("</ul>");
      return new EditResult(e.code().httpStatus(), formPage(page, kind, form, formToken));
    } catch (StoreException e) {
      Html page =
          new Html().message("error", "The platform can't be reached; nothing has taken effect.");
      return new EditResult(e.code().httpStatus(), formPage(page, kind, form, formToken));
    }
  }

  private static JsonNode applyEdit(FormKind kind, FormData form, JsonNode document) {
    ObjectNode copy = document.deepCopy();
    ArrayNode objects = copy.withArray(kind.path());
    int index = parseIndex(form.get("index"));
    boolean exists = index >= 0 && index < objects.size();
    if (form.get("action").equals("remove")) {
      if (exists) {
        objects.remove(index);
      }
    } else if (exists) {
      objects.set(index, FormMapper.toObject(kind, form));
    } else {
      objects.add(FormMapper.toObject(kind, form));
    }
    return copy;
  }

  private static ChangeRequest requestOf(FormData form, long base, JsonNode document) {
    return new ChangeRequest(
        form.get("submission"), form.get("author"), form.get("summary"), base, document);
  }

  private EditResult resultPage(
      FormKind kind, FormData form, String formToken, ChangeResult result) {
    return switch (result.decision()) {
      case ACCEPTED -> {
        Html page = new Html().message("done", "Accepted as version " + result.version() + ".");
        page.raw("<p>").link(ConsoleHandler.ROOT + "/" + kind.path(), "Back").raw("</p>");
        yield new EditResult(OK, page.page(kind.title()));
      }
      case REFUSED -> conflictPage(kind, form, formToken, result);
      case UNDECIDED -> {
        Html page =
            new Html()
                .message(
                    "error",
                    "It is not yet known whether this change has taken effect. Save again to check;"
                        + " it takes effect at most once.");
        yield new EditResult(
            ErrorCode.WRITE_UNDECIDED.httpStatus(), formPage(page, kind, form, formToken));
      }
    };
  }

  private EditResult conflictPage(
      FormKind kind, FormData form, String formToken, ChangeResult result) {
    Html page =
        new Html()
            .message(
                "error",
                "The configuration was changed after you opened this form; your change has not"
                    + " taken effect. Your input is kept below. These changes were made meanwhile:");
    page.raw("<table><tbody>");
    List.copyOf(result.between()).forEach(change -> ConsoleHandler.addChange(page, change));
    page.raw("</tbody></table>");
    StoredConfiguration current = loadConfiguration();
    ObjectFinder finder = new ObjectFinder(current.document().path(kind.path()));
    OptionalInt index = finder.find(form.get("original"));
    if (index.isEmpty() && !form.get("index").equals(NEW)) {
      page.message("error", "The object that you edited no longer exists; saving adds it again.");
    }
    Map<String, String> values = new LinkedHashMap<>(form.values());
    values.put("index", index.isPresent() ? Integer.toString(index.getAsInt()) : NEW);
    values.put("original", finder.textAt(index));
    values.put("base", Long.toString(current.version()));
    values.put("submission", RequestId.create(clock.instant()).value());
    return new EditResult(
        ErrorCode.VERSION_CONFLICT.httpStatus(),
        formPage(page, kind, new FormData(values), formToken));
  }
}
