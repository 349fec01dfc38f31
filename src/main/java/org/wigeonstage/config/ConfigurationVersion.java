package org.wigeonstage.config;

/**
 * A configuration document with its version.
 *
 * @param version the version assigned by the platform; 0 if no document is known
 * @param document the document
 * @param text the JSON text of the document, to send to peers
 */
public record ConfigurationVersion(long version, ConfigurationDocument document, String text) {

  /** The configuration in force before any document is known. */
  public static final ConfigurationVersion NONE =
      new ConfigurationVersion(0, ConfigurationDocument.EMPTY, "");
}
