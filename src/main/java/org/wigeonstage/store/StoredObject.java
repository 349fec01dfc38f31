package org.wigeonstage.store;

/**
 * An object of the platform's object API.
 *
 * @param name the object's name
 * @param version the version that the last write gave it
 * @param value the object's text, at most 1 MB
 */
public record StoredObject(String name, long version, String value) {}
