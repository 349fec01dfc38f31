package org.wigeonstage.config;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.MemberChange;

/**
 * A pool of backend servers that can stand in for each other.
 *
 * @param name the pool's name
 * @param kind what the backend servers are
 * @param models the models that the pool serves; empty for a plain service
 * @param members the backend servers
 * @param checksFencing whether the backend servers refuse orders with an old fencing number
 * @param loads the models, adapters and versions that each backend server is to have loaded; empty
 *     to give no orders
 * @param concurrentLoads the most backend servers that load at once, from 1
 * @param memberChange the last change of the members; set when a document is accepted
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
   * Creates a pool whose backend servers get no orders.
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
   * Returns the most backend servers that load at once.
   *
   * @return the number, at least 1
   */
  @Override
  public Integer concurrentLoads() {
    return concurrentLoads == null ? 1 : concurrentLoads;
  }

  /**
   * Returns this pool with a note of the last change of its members.
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
