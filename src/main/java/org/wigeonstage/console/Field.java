package org.wigeonstage.console;

/**
 * A field of a form.
 *
 * @param name the name of the member in the JSON object
 * @param label the label on the page
 * @param type how the value is shown and parsed
 * @param hint an explanation beside the label, with the unit
 */
record Field(String name, String label, Type type, String hint) {

  /** How a field is shown and parsed. */
  enum Type {
    /** A line of text. */
    TEXT,
    /** A line of text that may be left empty, and is then absent from the object. */
    OPTIONAL_TEXT,
    /** A number. */
    NUMBER,
    /** A number that may be left empty, and is then absent from the object. */
    OPTIONAL_NUMBER,
    /** A checkbox. */
    BOOLEAN,
    /** A list of strings, one a line. */
    LINES,
    /** A list of members, each a line with its name and its failure domain. */
    MEMBERS,
    /** A new API key; only its hash is stored. */
    NEW_KEY
  }
}
