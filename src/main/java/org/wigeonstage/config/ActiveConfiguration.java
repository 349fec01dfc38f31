package org.wigeonstage.config;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.wigeonstage.common.WigeonstageException;

/** The configuration in force in this process. Its version never decreases. Thread-safe. */
public final class ActiveConfiguration {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Is notified when another configuration comes into force. */
  @FunctionalInterface
  public interface Listener {

    /**
     * Handles a change of the configuration.
     *
     * @param previous the configuration that was in force
     * @param current the configuration that is now in force
     */
    void changed(ConfigurationVersion previous, ConfigurationVersion current);
  }

  private final List<Listener> listeners = new CopyOnWriteArrayList<>();
  private volatile ConfigurationVersion current = ConfigurationVersion.NONE;

  /**
   * Returns the configuration in force.
   *
   * @return the document and its version
   */
  public ConfigurationVersion current() {
    return current;
  }

  /**
   * Adds a listener.
   *
   * @param listener the listener to notify of changes
   */
  public void addListener(Listener listener) {
    listeners.add(listener);
  }

  /**
   * Puts a document into force if its version is higher than the current one. If the document has
   * faults, logs them and keeps the current one.
   *
   * @param version the document's version
   * @param text the document's JSON text
   * @return whether the document has come into force
   */
  public synchronized boolean applyIfNewer(long version, String text) {
    ConfigurationVersion previous = current;
    if (version <= previous.version()) {
      return false;
    }
    ConfigurationDocument document;
    try {
      document = ConfigurationParser.parse(text);
    } catch (WigeonstageException e) {
      logger.atSevere().log(
          "configuration version %s rejected, version %s stays in force: %s",
          version, previous.version(), e.getMessage());
      return false;
    }
    current = new ConfigurationVersion(version, document, text);
    logger.atInfo().log("configuration version %s is in force", version);
    listeners.forEach(listener -> listener.changed(previous, current));
    return true;
  }
}
