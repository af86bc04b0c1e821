package org.toucansaddle.daemon.internal.gateway.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.Repetition;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.WeightedService;

/** Tests of {@link RouteTable}. */
public class RouteTableTest {

  private static Route route(String name, String host, String prefix) {
    List<WeightedService> services = List.of(new WeightedService("desk", 1));
    return new Route(name, host, prefix, Repetition.ONCE, 10, 10, 0, 1, services, 1, true, false);
  }

  private final RouteTable table =
      new RouteTable(
          List.of(
              route("short", "h.example", "/a/"),
              route("long", "h.example", "/a/b/"),
              route("root", "all.example", "/")));

  @DataProvider
  public Object[][] requests() {
    return new Object[][] {
      {"h.example", "/a/x", "short"},
      {"h.example", "/a/", "short"},
      {"h.example", "/a/b/c/d", "long"},
      {"h.example", "/a/bc", "short"},
      {"h.example", "/a", ""},
      {"h.example", "/", ""},
      {"other.example", "/a/x", ""},
      {"all.example", "/", "root"},
      {"all.example", "/x/y", "root"},
      {"all.example", "*", ""},
    };
  }

  @Test(dataProvider = "requests")
  public void shouldFindTheLongestPrefixOfTheHost(String host, String path, String name) {
    assertThat(table.find(host, path).map(Route::name).orElse("")).isEqualTo(name);
  }
}
