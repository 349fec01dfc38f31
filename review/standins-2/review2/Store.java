package review2;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's store: objects by kind and name, one revision counter, lists in pages, watches,
 * and an era that rises when it is restored from a copy.
 */
final class Store extends HttpEndpoint {

  private static final String PATH = "/wigeonstage/objects/";
  private static final int PAGE_OBJECTS = 500;
  private static final int PAGE_BYTES = 1024 * 1024;
  private static final Pattern NAME = Pattern.compile("\"name\"\\s*:\\s*\"([^\"]*)\"");

  private record Stored(String name, long revision, String spec) {
    String json() {
      return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
          + ",\"created_at\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + spec
          + ",\"status\":null}";
    }
  }

  private record Change(long revision, String kind, Stored object, boolean isDeleted) {}

  /** The content at one moment. */
  record Copy(Map<String, TreeMap<String, Object>> kinds, long revision) {}

  private final Map<String, TreeMap<String, Stored>> kinds = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private long revision = 100;
  private long historyFrom = 100;
  private long era = 1;
  private boolean isAway;

  Store(String host) throws IOException {
    super(host);
  }

  /** Writes an object, as the operator or a runner does; returns the revision. */
  synchronized long put(String kind, String name, String spec) {
    Stored stored = new Stored(name, ++revision, spec);
    kinds.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, stored);
    history.add(new Change(revision, kind, stored, false));
    notifyAll();
    return revision;
  }

  synchronized void remove(String kind, String name) {
    Stored removed = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
    if (removed != null) {
      history.add(new Change(++revision, kind, removed, true));
      notifyAll();
    }
  }

  synchronized List<String> names(String kind) {
    return List.copyOf(kinds.getOrDefault(kind, new TreeMap<>()).keySet());
  }

  synchronized String spec(String kind, String name) {
    return kinds.getOrDefault(kind, new TreeMap<>()).get(name).spec();
  }

  synchronized Copy copy() {
    Map<String, TreeMap<String, Object>> copied = new TreeMap<>();
    kinds.forEach((kind, objects) -> copied.put(kind, new TreeMap<>(objects)));
    return new Copy(copied, revision);
  }

  /** Answers no call from now on, and resets the open ones. */
  void goAway() {
    synchronized (this) {
      isAway = true;
      notifyAll();
    }
    resetConnections();
  }

  synchronized boolean isAway() {
    return isAway;
  }

  /** Comes back with the content of a copy, in the next era. */
  synchronized void restore(Copy copy) {
    kinds.clear();
    copy.kinds()
        .forEach(
            (kind, objects) -> {
              TreeMap<String, Stored> restored = new TreeMap<>();
              objects.forEach((name, object) -> restored.put(name, (Stored) object));
              kinds.put(kind, restored);
            });
    history.clear();
    revision = copy.revision();
    historyFrom = revision;
    era++;
    isAway = false;
  }

  @Override
  boolean handle(Request request, Socket socket) throws IOException {
    String result;
    int status = 200;
    long statedEra;
    synchronized (this) {
      if (isAway) {
        resetOnly(socket);
        return false;
      }
      String[] path = request.path().substring(PATH.length()).split("/");
      String since = request.parameter("watch_rev", "");
      long eraBefore = era;
      if (request.method().equals("GET") && path.length == 1 && !since.isEmpty()) {
        long from = Long.parseLong(since);
        result = watch(path[0], from, Long.parseLong(request.parameter("wait_ms", "0")));
        if (isAway || era != eraBefore) {
          resetOnly(socket);
          return false;
        }
        status = result == null ? 410 : 200;
      } else if (request.method().equals("GET") && path.length == 1) {
        result = list(path[0], request.parameter("after", ""));
      } else {
        String body = new String(request.body(), java.nio.charset.StandardCharsets.UTF_8);
        Matcher name = NAME.matcher(body);
        String objectName = path.length > 1 ? path[1] : name.find() ? name.group(1) : "";
        boolean exists = kinds.getOrDefault(path[0], new TreeMap<>()).containsKey(objectName);
        if (request.method().equals("POST") && exists) {
          status = 409;
        } else {
          put(path[0], objectName, body.substring(body.indexOf("\"spec\":") + 7, body.length() - 1));
          status = request.method().equals("POST") ? 201 : 200;
        }
        result = kinds.get(path[0]).get(objectName).json();
      }
      statedEra = era;
    }
    respond(
        socket,
        status,
        "Content-Type: application/json\r\nStore-Era: " + statedEra + "\r\n",
        result == null ? "{}" : result);
    return !request.field("Connection").equalsIgnoreCase("close");
  }

  private static void resetOnly(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  private String list(String kind, String after) {
    StringBuilder entries = new StringBuilder();
    boolean hasMore = false;
    int count = 0;
    for (Stored stored : kinds.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).values()) {
      String json = stored.json();
      if (count == PAGE_OBJECTS || (count > 0 && entries.length() + json.length() > PAGE_BYTES)) {
        hasMore = true;
        break;
      }
      entries.append(count++ == 0 ? "" : ",").append(json);
    }
    return "{\"entries\":[" + entries + "],\"has_more\":" + hasMore + ",\"at\":" + revision + "}";
  }

  /** Returns the changes since a revision once there are any, or null if they are not known. */
  private String watch(String kind, long since, long waitMillis) {
    long until = System.nanoTime() + waitMillis * 1_000_000;
    long startEra = era;
    if (since < historyFrom || since > revision) {
      return null;
    }
    while (true) {
      StringBuilder events = new StringBuilder();
      for (Change change : history) {
        if (change.revision() > since && change.kind().equals(kind)) {
          events
              .append(events.isEmpty() ? "" : ",")
              .append("{\"deleted\":" + change.isDeleted() + ",\"resource_object\":")
              .append(change.object().json() + "}");
        }
      }
      long left = (until - System.nanoTime()) / 1_000_000;
      if (!events.isEmpty() || left <= 0 || isAway || era != startEra) {
        return "{\"events\":[" + events + "],\"at\":" + revision + "}";
      }
      try {
        wait(left);
      } catch (InterruptedException e) {
        return "{\"events\":[],\"at\":" + revision + "}";
      }
    }
  }
}
