package org.wigeonstage.config;

/**
 * A configuration document with its version.
 *
 * @param version the version that the platform gave it; 0 where none is known
 * @param document the document
 * @param text the document's JSON text, for peers
 */
public record ConfigurationVersion(long version, ConfigurationDocument document, String text) {

  /** What is in force before any document is known. */
  public static final ConfigurationVersion NONE =
      new ConfigurationVersion(0, ConfigurationDocument.EMPTY, "");
}
