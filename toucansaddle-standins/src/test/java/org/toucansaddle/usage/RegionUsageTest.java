package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.zones.AllowedRegions;
import org.toucansaddle.daemon.gateway.CallerLimits;
import org.toucansaddle.daemon.gateway.ClientAccount;
import org.toucansaddle.daemon.gateway.DocumentException;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.Repetition;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.ServiceDefinition;
import org.toucansaddle.daemon.gateway.WeightedService;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/** Usage tests of routes and accounts whose requests may be served in some regions only. */
public class RegionUsageTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int REQUESTS = 20;
  private static final String KEY_OF_EAST = "key-of-east";

  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
  private final List<String> arrivals = new CopyOnWriteArrayList<>();
  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;

  private static FleetDocument document(byte[] content) throws DocumentException {
    List<Route> routes =
        List.of(
            route("repeatable"),
            route("east").withRegions(AllowedRegions.of(List.of("east"))),
            route("west").withRegions(AllowedRegions.of(List.of("west"))),
            route("elsewhere").withRegions(AllowedRegions.of(List.of("elsewhere"))));
    ServiceDefinition desk = new ServiceDefinition("desk", "", 0, Optional.empty());
    List<ClientAccount> accounts =
        List.of(
            new ClientAccount("captain", Set.of(LocalGateway.API_KEY)),
            new ClientAccount(
                "pilot", Set.of(KEY_OF_EAST), AllowedRegions.of(List.of("east", "south"))));
    return new FleetDocument(
            1, routes, List.of(desk), Optional.of(accounts), CallerLimits.defaults())
        .validated();
  }

  private static Route route(String name) {
    List<WeightedService> services = List.of(new WeightedService("desk", 1));
    return LocalGateway.route(name, Repetition.REPEATABLE, 2, false, services);
  }

  @BeforeMethod
  public void startGateway() throws Exception {
    gateway = new LocalGateway(RegionUsageTest::document);
    upstreams = new ScriptedUpstreams(gateway, this::answer);
    upstreams.start("desk-a", "desk", "", "za");
    upstreams.start("desk-b", "desk", "", "zb");
    gateway.awaitServing();
    LocalGateway.await(() -> reached("/repeatable/x", LocalGateway.API_KEY).size() == 2);
  }

  @AfterMethod(alwaysRun = true)
  public void stopGateway() throws Exception {
    upstreams.close();
    gateway.close();
  }

  private void answer(Exchange exchange) throws IOException {
    arrivals.add(exchange.upstream());
    exchange.writeHead(200, "Content-Length: 2");
    exchange.write("ok");
  }

  private HttpResponse send(String path, String key) {
    return client.send(gateway.request(0, path).withHeader("X-Api-Key", key), TIMEOUT).join();
  }

  /** Returns the upstreams that some requests reach. */
  private Set<String> reached(String path, String key) {
    arrivals.clear();
    for (int i = 0; i < REQUESTS; i++) {
      send(path, key);
    }
    return new TreeSet<>(arrivals);
  }

  @Test
  public void shouldServeRequestsOnlyInAllowedRegions() {
    assertThat(reached("/east/x", LocalGateway.API_KEY)).containsExactly("desk-a");
    assertThat(reached("/west/x", LocalGateway.API_KEY)).containsExactly("desk-b");
    assertThat(reached("/repeatable/x", KEY_OF_EAST)).containsExactly("desk-a");
    assertThat(reached("/east/x", KEY_OF_EAST)).containsExactly("desk-a");
  }

  @Test
  public void shouldRefuseAtOnceWhatMayBeServedNowhere() {
    assertThat(reached("/west/x", KEY_OF_EAST)).isEmpty();
    assertThat(reached("/elsewhere/x", LocalGateway.API_KEY)).isEmpty();
    HttpResponse response = send("/west/x", KEY_OF_EAST);
    assertThat(response.status()).isEqualTo(503);
    assertThat(new String(response.body(), StandardCharsets.UTF_8))
        .contains("no-upstream-in-region");
  }

  // A failure in the allowed region must not move its requests to another one.
  @Test
  public void shouldNotMoveRequestsWhenRegionFails() throws Exception {
    upstreams.stop("desk-a");
    Set<String> reachedByEast = new TreeSet<>();
    LocalGateway.await(
        () -> {
          Set<String> reached = reached("/east/x", LocalGateway.API_KEY);
          reachedByEast.addAll(reached);
          return reached.isEmpty();
        });
    assertThat(reachedByEast).doesNotContain("desk-b");
    assertThat(reached("/east/x", LocalGateway.API_KEY)).isEmpty();
    assertThat(reached("/repeatable/x", LocalGateway.API_KEY)).containsExactly("desk-b");
  }
}
