package org.wigeonstage.fuzz;

import java.util.ArrayDeque;
import java.util.Deque;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.handover.Message;

/** A connection in the fuzzed world: two queues, each of which may swallow what it is given. */
final class FakeLink {

  private static final boolean TRACE = Boolean.getBoolean("wigeonstage.fuzzTrace");

  final LinkId id;
  final FakeEntry entry;
  final FakeAgent agent;
  final Deque<Message> toAgent = new ArrayDeque<>();
  final Deque<Message> toEntry = new ArrayDeque<>();
  boolean silent;
  boolean closedByEntry;
  boolean closedByAgent;

  FakeLink(LinkId id, FakeEntry entry, FakeAgent agent) {
    this.id = id;
    this.entry = entry;
    this.agent = agent;
  }

  void sendToAgent(Message message) {
    trace("->", message);
    if (!silent && !closedByEntry) {
      toAgent.addLast(message);
    }
  }

  void sendToEntry(Message message) {
    trace("<-", message);
    if (!silent && !closedByAgent) {
      toEntry.addLast(message);
    }
  }

  private void trace(String direction, Message message) {
    if (TRACE) {
      String state = silent ? " (silent)" : "";
      System.out.println(
          "link "
              + id.value()
              + " "
              + direction
              + " "
              + agent.name
              + "/"
              + agent.incarnation
              + " "
              + message
              + state);
    }
  }

  void goSilent() {
    silent = true;
    toAgent.clear();
    toEntry.clear();
  }
}
