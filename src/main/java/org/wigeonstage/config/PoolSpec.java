package org.wigeonstage.config;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.MemberChange;

/**
 * A pool of interchangeable backend servers.
 *
 * @param name the pool's name
 * @param kind what the backend servers are
 * @param models the models that the pool serves; empty for a plain service
 * @param members the backend servers
 * @param checksFencing whether the backend servers refuse orders with an old fencing number, which
 *     come from an agent that has been replaced
 * @param loads the models, adapters and versions that each backend server is to have loaded; if
 *     empty, no orders to load are sent
 * @param concurrentLoads the maximum number of backend servers that load at the same time, at least
 *     1
 * @param memberChange the last change of the members, which is set when a document is accepted;
 *     null if the members have not changed since the pool was added
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record PoolSpec(
    String name,
    Kind kind,
    List<String> models,
    List<MemberSpec> members,
    boolean checksFencing,
    @Nullable List<String> loads,
    @Nullable Integer concurrentLoads,
    @Nullable MemberChange memberChange) {

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
    loads = loads == null ? List.of() : List.copyOf(loads);
    concurrentLoads = concurrentLoads == null ? 1 : concurrentLoads;
  }

  /**
   * Creates a pool whose backend servers get no orders to load.
   *
   * @param name the pool's name
   * @param kind what the backend servers are
   * @param models the models that the pool serves
   * @param members the backend servers
   * @param checksFencing whether the backend servers refuse orders with an old fencing number
   */
  public PoolSpec(
      String name,
      Kind kind,
      List<String> models,
      List<MemberSpec> members,
      boolean checksFencing) {
    this(name, kind, models, members, checksFencing, null, null, null);
  }

  /**
   * Returns what each backend server is to have loaded.
   *
   * @return the models, adapters and versions
   */
  @Override
  public List<String> loads() {
    return loads == null ? List.of() : loads;
  }

  /**
   * Returns the maximum number of backend servers that load at the same time.
   *
   * @return the number, at least 1
   */
  @Override
  public Integer concurrentLoads() {
    return concurrentLoads == null ? 1 : concurrentLoads;
  }

  /**
   * Returns a copy of this pool with another last change of its members.
   *
   * @param change the change, or null
   * @return the pool
   */
  public PoolSpec withMemberChange(@Nullable MemberChange change) {
    return new PoolSpec(name, kind, models, members, checksFencing, loads, concurrentLoads, change);
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
