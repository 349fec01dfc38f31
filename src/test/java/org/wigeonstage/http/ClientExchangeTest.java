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

  private final List<String> calls = new ArrayList<>();
  private final List<String> heard = new ArrayList<>();

  private final ClientExchange exchange =
      new ClientExchange(
          new NoOpResponseListener() {
            @Override
            public void onConnectFailure(Throwable cause) {
              heard.add("not connected");
            }

            @Override
            public void onFailure(Throwable cause) {
              heard.add("broken");
            }
          },
          () -> Duration.ZERO);

  private Connection<?> connection() {
    AttributeHolder attributes = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createUnsafeAttributeHolder();
    return (Connection<?>)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {Connection.class},
            (proxy, method, args) -> {
              calls.add(method.getName());
              return method.getName().equals("getAttributes") ? attributes : null;
            });
  }

  private static HttpContent packet() {
    return HttpContent.builder(HttpRequestPacket.builder().method("POST").uri("/").build()).build();
  }

  @Test
  void sendsNothingOnceItWasCancelledUnsent() {
    assertThat(exchange.cancelIfUnsent()).isTrue();
    exchange.connected(connection(), packet());
    assertThat(calls).doesNotContain("write").contains("closeSilently");
    assertThat(heard).containsExactly("not connected");
  }

  /** The connection is established between the decision to give up and the giving up. */
  @Test
  void cannotBeCancelledUnsentOnceItIsConnected() {
    exchange.connected(connection(), packet());
    assertThat(calls).contains("write");
    assertThat(exchange.cancelIfUnsent()).isFalse();
  }
}
