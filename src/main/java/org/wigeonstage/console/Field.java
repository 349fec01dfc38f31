package org.wigeonstage.console;

/**
 * A field of a form.
 *
 * @param name the name in the JSON object
 * @param label what operators read
 * @param type how it is shown and read
 * @param hint an explanation with the unit
 */
record Field(String name, String label, Type type, String hint) {

  /** How a field is shown and read. */
  enum Type {
    /** A line of text. */
    TEXT,
    /** A line of text that may be left empty, and is then absent from the object. */
    OPTIONAL_TEXT,
    /** A number. */
    NUMBER,
    /** A number that may be left empty, and is then absent from the object. */
    OPTIONAL_NUMBER,
    /** A box to tick. */
    BOOLEAN,
    /** Lines of text. */
    LINES,
    /** Lines with a member's name and its failure domain. */
    MEMBERS,
    /** A key that is stored as its hash. */
    NEW_KEY
  }
}
