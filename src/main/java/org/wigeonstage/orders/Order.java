package org.wigeonstage.orders;

/**
 * An order to a backend server to load or unload a target: a model, an adapter (weights that modify
 * a model) or a version of one of them.
 *
 * @param action the action to perform
 * @param target the name of the model, adapter or version
 */
public record Order(Action action, String target) {

  /** The actions that a backend server can be ordered to perform. */
  public enum Action {
    /** Loads the target. */
    LOAD,
    /** Unloads the target. */
    UNLOAD
  }
}
