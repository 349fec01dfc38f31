package org.wigeonstage.membership;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.http.BlockingCall;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.http.HttpResponse;
import org.wigeonstage.request.HttpCall;

/**
 * Fetches snapshots from other entries, which an entry needs to start while the platform is down.
 */
public final class PeerSnapshotClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final int OK = 200;

  private final HttpClient client;
  private final List<Endpoint> peers;

  /**
   * Creates a client.
   *
   * @param client the HTTP client
   * @param peers the operator addresses of the other entries
   */
  public PeerSnapshotClient(HttpClient client, List<Endpoint> peers) {
    this.client = client;
    this.peers = List.copyOf(peers);
  }

  /**
   * Fetches the snapshots of all peers, one after the other. Peers that don't respond are skipped.
   * Blocks for up to 2 s per peer.
   *
   * @return the snapshots
   */
  public List<BootstrapSnapshot> fetchAll() {
    return peers.stream().map(this::fetch).flatMap(Optional::stream).toList();
  }

  private Optional<BootstrapSnapshot> fetch(Endpoint peer) {
    HttpCall call = new HttpCall("GET", "/v1/snapshot", null, new byte[0]);
    try {
      HttpResponse response = BlockingCall.execute(client, peer, call, Map.of(), TIMEOUT);
      return response.status() == OK
          ? Optional.of(Json.read(response.text(), BootstrapSnapshot.class))
          : Optional.empty();
    } catch (WigeonstageException e) {
      return Optional.empty();
    }
  }
}
