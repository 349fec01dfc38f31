package review2;

/** Configurations of a small deployment: one service, one route and one tenant. */
final class Configurations {

  /** The head of a request on the route; the client adds its own fields. */
  static String head(String key) {
    return "POST /p/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\nToken-Count: 900,100\r\n"
        + "Credential: " + key + "\r\n";
  }

  /** Returns a configuration whose tenant has the given keys, as JSON strings. */
  static String plain(int version, String keys) {
    return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
        + "\"path_prefix\":\"/p/\",\"route_kind\":\"non_idempotent\",\"timeout_ms\":1000,"
        + "\"target_latency_ms\":150,\"priority\":2,\"service\":\"portal\",\"max_attempts\":1,"
        + "\"auth_exempt\":false}],\"services\":[{\"name\":\"portal\",\"health_path\":\"/healthz\","
        + "\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":"
        + "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
        + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t-1\",\"api_keys\":[" + keys
        + "],\"priority\":1,\"billing_unit\":\"tokens\",\"plain_tokens\":200,"
        + "\"rate_per_s\":174988,\"burst_size\":174988}]}";
  }

  private Configurations() {}
}
