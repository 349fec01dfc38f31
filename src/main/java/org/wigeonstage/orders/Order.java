package org.wigeonstage.orders;

/**
 * An order to a backend server.
 *
 * @param action the action to perform
 * @param target the name of the model, adapter or version
 */
public record Order(Action action, String target) {

  /** The actions that a backend server can be ordered to perform. */
  public enum Action {
    /** Loads a model, adapter or version. */
    LOAD,
    /** Unloads a model, adapter or version. */
    UNLOAD
  }
}
