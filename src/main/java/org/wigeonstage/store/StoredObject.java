package org.wigeonstage.store;

/**
 * An object in the platform's object store.
 *
 * @param name the object's name
 * @param version the version assigned by the last write
 * @param value the object's text, at most 1 MB
 */
public record StoredObject(String name, long version, String value) {}
