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

/** Asks other entries for what they know, for use while the platform is down. */
public final class PeerSnapshotClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final int OK = 200;

  private final HttpClient client;
  private final List<Endpoint> peers;

  /**
   * Creates a source of snapshots.
   *
   * @param client makes the calls
   * @param peers the operators' addresses of other entries
   */
  public PeerSnapshotClient(HttpClient client, List<Endpoint> peers) {
    this.client = client;
    this.peers = List.copyOf(peers);
  }

  /**
   * Asks all peers, one after the other; peers that don't answer are passed over.
   *
   * @return the snapshots that came
   */
  public List<BootstrapSnapshot> fetchAll() {
    return peers.stream().map(this::fetch).flatMap(Optional::stream).toList();
  }

  private Optional<BootstrapSnapshot> fetch(Endpoint peer) {
    HttpCall call = new HttpCall("GET", "/v1/snapshot", null, new byte[0]);
    try {
      HttpResponse answer = BlockingCall.execute(client, peer, call, Map.of(), TIMEOUT);
      return answer.status() == OK
          ? Optional.of(Json.read(answer.text(), BootstrapSnapshot.class))
          : Optional.empty();
    } catch (WigeonstageException e) {
      return Optional.empty();
    }
  }
}
