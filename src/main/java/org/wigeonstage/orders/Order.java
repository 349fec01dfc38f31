package org.wigeonstage.orders;

/**
 * An order to a backend server.
 *
 * @param action what to do
 * @param target the model, adapter or version
 */
public record Order(Action action, String target) {

  /** What a backend server can be told to do. */
  public enum Action {
    /** Load a model, adapter or version. */
    LOAD,
    /** Unload a model, adapter or version. */
    UNLOAD
  }
}
