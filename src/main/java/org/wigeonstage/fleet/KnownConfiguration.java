package org.wigeonstage.fleet;

/**
 * What a gateway knows of the configuration, without its content.
 *
 * @param version the version of the store at which the configuration in force last changed
 * @param tableVersion the version that operators assigned to it
 * @param settledEra the highest era of the store in which the gateway knows of all configurations
 *     that were lost with a restore, or -1 if there is none
 */
public record KnownConfiguration(StoreVersion version, long tableVersion, long settledEra) {

  /**
   * Returns whether a configuration is older than this one. Within an era, the store's revisions
   * decide, otherwise the versions that operators assigned.
   *
   * @param configuration the configuration
   * @return whether this one is newer
   */
  public boolean isNewerThan(StoredConfiguration configuration) {
    return version.era() == configuration.version().era()
        ? version.revision() > configuration.version().revision()
        : tableVersion > configuration.table().version();
  }
}
