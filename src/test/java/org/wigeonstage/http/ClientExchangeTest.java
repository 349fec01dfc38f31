package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.AttributeHolder;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.junit.jupiter.api.Test;

class ClientExchangeTest {

  private final List<String> connectionCalls = new ArrayList<>();
  private final List<String> notifications = new ArrayList<>();

  private final ClientExchange exchange =
      new ClientExchange(
          new NoOpResponseListener() {
            @Override
            public void onConnectFailure(Throwable cause) {
              notifications.add("not connected");
            }

            @Override
            public void onFailure(Throwable cause) {
              notifications.add("failed");
            }
          },
          () -> Duration.ZERO);

  private Connection<?> recordingConnection() {
    AttributeHolder attributes = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createUnsafeAttributeHolder();
    return (Connection<?>)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {Connection.class},
            (proxy, method, args) -> {
              connectionCalls.add(method.getName());
              return method.getName().equals("getAttributes") ? attributes : null;
            });
  }

  private static HttpContent packet() {
    return HttpContent.builder(HttpRequestPacket.builder().method("POST").uri("/").build()).build();
  }

  @Test
  void sendsNothingAfterItWasCancelledBeforeConnecting() {
    assertThat(exchange.cancelIfUnsent()).isTrue();
    exchange.connected(recordingConnection(), packet());
    assertThat(connectionCalls).doesNotContain("write").contains("closeSilently");
    assertThat(notifications).containsExactly("not connected");
  }

  /** The connection may be established between the decision to cancel and the cancellation. */
  @Test
  void cannotBeCancelledAsUnsentAfterConnecting() {
    exchange.connected(recordingConnection(), packet());
    assertThat(connectionCalls).contains("write");
    assertThat(exchange.cancelIfUnsent()).isFalse();
  }
}
