package org.wigeonstage.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Locale;

/**
 * A pool of backend servers that can stand in for each other.
 *
 * @param name the pool's name
 * @param kind what the backend servers are
 * @param models the models that the pool serves; empty for a plain service
 * @param members the backend servers
 * @param checksFencing whether the backend servers refuse orders with an old fencing number
 */
public record PoolSpec(
    String name, Kind kind, List<String> models, List<MemberSpec> members, boolean checksFencing) {

  /** What the backend servers of a pool are. */
  public enum Kind {
    /** Model engines. */
    @JsonProperty("model")
    MODEL,
    /** Plain services. */
    @JsonProperty("service")
    SERVICE;

    @Override
    public String toString() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Makes the lists immutable. */
  public PoolSpec {
    models = List.copyOf(models);
    members = List.copyOf(members);
  }

  /**
   * Returns the names of the members.
   *
   * @return the agents' names
   */
  public List<String> memberNames() {
    return members.stream().map(MemberSpec::name).toList();
  }
}
