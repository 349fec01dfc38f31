package org.wigeonstage.fuzz;

import java.util.ArrayDeque;
import java.util.Deque;
import org.wigeonstage.handover.LinkId;
import org.wigeonstage.handover.Message;

/** A link in the simulated cluster. It queues messages in both directions and can discard them. */
final class SimulatedLink {

  private static final boolean TRACE = Boolean.getBoolean("wigeonstage.fuzzTrace");

  final LinkId id;
  final SimulatedEntry entry;
  final SimulatedAgent agent;
  final Deque<Message> toAgent = new ArrayDeque<>();
  final Deque<Message> toEntry = new ArrayDeque<>();
  boolean isDiscarding;
  boolean closedByEntry;
  boolean closedByAgent;

  SimulatedLink(LinkId id, SimulatedEntry entry, SimulatedAgent agent) {
    this.id = id;
    this.entry = entry;
    this.agent = agent;
  }

  void sendToAgent(Message message) {
    trace("->", message);
    if (!isDiscarding && !closedByEntry) {
      toAgent.addLast(message);
    }
  }

  void sendToEntry(Message message) {
    trace("<-", message);
    if (!isDiscarding && !closedByAgent) {
      toEntry.addLast(message);
    }
  }

  private void trace(String direction, Message message) {
    if (TRACE) {
      String state = isDiscarding ? " (discarded)" : "";
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

  void discardTraffic() {
    isDiscarding = true;
    toAgent.clear();
    toEntry.clear();
  }
}
