package org.wigeonstage.console;

import com.google.common.html.HtmlEscapers;

/**
 * Builds the console's pages. All texts and values are escaped, except the markup of {@link #raw}.
 */
final class Html {

  private static final String STYLE =
      "body{font:16px/1.5 system-ui,sans-serif;margin:0;color:#1a1a1a;background:#fafafa}"
          + "header{background:#14344a;color:#fff;padding:.8rem 1.5rem}"
          + "header a{color:#fff;margin-right:1.2rem}"
          + "main{max-width:70rem;margin:1.5rem auto;padding:0 1.5rem}"
          + "table{border-collapse:collapse;width:100%;background:#fff}"
          + "th,td{border:1px solid #ccc;padding:.4rem .6rem;text-align:left;vertical-align:top}"
          + "label{display:block;margin-top:1rem;font-weight:600}"
          + "input[type=text],input[type=password],textarea{width:100%;box-sizing:border-box;"
          + "padding:.4rem;font:inherit}"
          + "textarea{min-height:6rem}"
          + ".hint{color:#555;font-weight:400}"
          + ".error{background:#fde8e8;border-left:4px solid #b00020;padding:.6rem 1rem}"
          + ".done{background:#e6f4ea;border-left:4px solid #1e7b34;padding:.6rem 1rem}"
          + "button{margin-top:1.2rem;padding:.5rem 1.2rem;font:inherit}"
          + ":focus{outline:3px solid #f0a500}";

  private final StringBuilder out = new StringBuilder();

  static String escape(String text) {
    return HtmlEscapers.htmlEscaper().escape(text);
  }

  /** Adds markup without escaping; it must not contain text from outside the program. */
  Html raw(String markup) {
    out.append(markup);
    return this;
  }

  Html text(String text) {
    out.append(escape(text));
    return this;
  }

  /** Adds an element that contains a text and has no attributes. */
  Html element(String name, String text) {
    return raw("<" + name + ">").text(text).raw("</" + name + ">");
  }

  Html link(String target, String text) {
    return raw("<a href=\"").text(target).raw("\">").text(text).raw("</a>");
  }

  Html hidden(String name, String value) {
    return raw("<input type=\"hidden\" name=\"")
        .text(name)
        .raw("\" value=\"")
        .text(value)
        .raw("\">");
  }

  Html message(String cssClass, String text) {
    return raw("<p class=\"" + cssClass + "\" role=\"alert\">").text(text).raw("</p>");
  }

  Html field(Field field, String value) {
    String id = "field-" + field.name();
    boolean isCheckbox = field.type() == Field.Type.BOOLEAN;
    raw("<label for=\"" + id + "\">").text(field.label());
    raw(" <span class=\"hint\">").text(field.hint()).raw("</span></label>");
    String attributes = " id=\"" + id + "\" name=\"" + field.name() + "\"";
    switch (field.type()) {
      case LINES, MEMBERS -> raw("<textarea" + attributes + ">").text(value).raw("</textarea>");
      case BOOLEAN -> raw("<input type=\"checkbox\"" + attributes);
      case NEW_KEY ->
          raw("<input type=\"password\" autocomplete=\"new-password\"" + attributes + ">");
      default -> raw("<input type=\"text\"" + attributes + " value=\"").text(value).raw("\">");
    }
    return isCheckbox ? raw(value.equals("on") ? " checked>" : ">") : this;
  }

  /** Returns the complete page, with its title and navigation. */
  String page(String title) {
    return "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
        + escape(title)
        + " - wigeonstage</title><meta name=\"viewport\" content=\"width=device-width\"><style>"
        + STYLE
        + "</style></head><body>"
        + navigation()
        + "<main><h1>"
        + escape(title)
        + "</h1>"
        + out
        + "</main></body></html>";
  }

  private static String navigation() {
    Html bar = new Html().raw("<header><nav>").link("/console", "Status");
    for (FormKind kind : FormKind.values()) {
      bar.link("/console/" + kind.path(), kind.title());
    }
    bar.link("/console/history", "History").raw("</nav></header>");
    return bar.out.toString();
  }
}
