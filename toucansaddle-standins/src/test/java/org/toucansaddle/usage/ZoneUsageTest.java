package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.cli.CliMain;
import org.toucansaddle.coordination.zones.ZoneOrder;
import org.toucansaddle.coordination.zones.ZoneOrders;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/** Usage tests of availability zones that operators take out of service and back. */
public class ZoneUsageTest {

  private static final String OPERATOR_TOKEN = "operators-token";
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int REQUESTS = 20;

  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
  private final List<String> arrivals = new CopyOnWriteArrayList<>();
  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;

  @BeforeMethod
  public void startGateway() throws Exception {
    gateway = new LocalGateway();
    upstreams = new ScriptedUpstreams(gateway, this::answer);
    upstreams.start("desk-a", "desk", "", "za");
    upstreams.start("desk-b", "desk", "", "zb");
    gateway.awaitServing();
    LocalGateway.await(() -> reaches(0, "desk-a") && reaches(1, "desk-b"));
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

  private HttpResponse send(int router) {
    return client.send(gateway.request(router, "/repeatable/x"), TIMEOUT).join();
  }

  /** Returns whether some of a few requests of a router reach an upstream. */
  private boolean reaches(int router, String upstream) {
    arrivals.clear();
    for (int i = 0; i < REQUESTS; i++) {
      send(router);
    }
    return arrivals.contains(upstream);
  }

  private Optional<ZoneOrders> order(int control, String zone, boolean outOfService)
      throws Exception {
    return gateway.control(control).order(new ZoneOrder(zone, outOfService), TIMEOUT).get();
  }

  private void awaitOnly(String upstream, String other) throws InterruptedException {
    for (int router = 0; router < 2; router++) {
      int current = router;
      LocalGateway.await(() -> !reaches(current, other));
      assertThat(arrivals).contains(upstream);
    }
  }

  @Test
  public void shouldSendNothingToZoneUntilItIsTakenBack() throws Exception {
    assertThat(order(3, "za", true)).contains(new ZoneOrders(1, Set.of("za")));
    awaitOnly("desk-b", "desk-a");
    assertThat(send(0).status()).isEqualTo(200);
    assertThat(order(4, "za", false)).contains(new ZoneOrders(2, Set.of()));
    LocalGateway.await(() -> reaches(0, "desk-a") && reaches(1, "desk-a"));
  }

  // What the other zones cannot carry must be refused at once, not held to the deadline.
  @Test
  public void shouldRefuseAtOnceWhenAllZonesAreOutOfService() throws Exception {
    order(0, "za", true);
    order(0, "zb", true);
    LocalGateway.await(() -> send(0).status() == 503);
    long startedAt = System.nanoTime();
    assertThat(send(0).status()).isEqualTo(503);
    assertThat(Duration.ofNanos(System.nanoTime() - startedAt)).isLessThan(Duration.ofSeconds(1));
  }

  @Test
  public void shouldAcknowledgeOrderThatIsSentAgainAtAnyControlDaemon() throws Exception {
    for (int control = 0; control < LocalGateway.CONTROL_COUNT; control++) {
      assertThat(order(control, "za", true)).contains(new ZoneOrders(1, Set.of("za")));
    }
  }

  @DataProvider
  public Object[][] losses() {
    return new Object[][] {{"all control daemons restart"}, {"two disks are lost"}};
  }

  // An order that was acknowledged must survive what the deployment has to bear.
  @Test(dataProvider = "losses")
  public void shouldKeepOrderWhen(String loss) throws Exception {
    LocalGateway.await(gateway::isFullyReplicated);
    order(1, "za", true);
    LocalGateway.await(gateway::isFullyReplicated);
    if (loss.startsWith("two")) {
      gateway.restartWithEmptyDisks(0, 1);
    } else {
      gateway.restartControls();
    }
    gateway.restartRouter(0);
    LocalGateway.await(() -> gateway.router(0).isReady());
    LocalGateway.await(() -> reaches(0, "desk-b"));
    assertThat(arrivals).doesNotContain("desk-a");
    assertThat(gateway.control(2).zones(TIMEOUT).get().orElseThrow().outOfService())
        .containsExactly("za");
  }

  private static int run(Undertow admin, Path token, String... words) {
    InetSocketAddress bound = (InetSocketAddress) admin.getListenerInfo().get(0).getAddress();
    String[] arguments = new String[words.length + 5];
    arguments[0] = "zone";
    System.arraycopy(words, 0, arguments, 1, words.length);
    arguments[words.length + 1] = "--admin";
    arguments[words.length + 2] = "127.0.0.1:" + bound.getPort();
    arguments[words.length + 3] = "--token-file";
    arguments[words.length + 4] = token.toString();
    return CliMain.run(arguments);
  }

  @Test
  public void shouldTakeOrdersOfCommandLine() throws Exception {
    Path token = Files.writeString(Files.createTempFile("token", ""), OPERATOR_TOKEN);
    Undertow admin = gateway.startAdmin(LocalGateway::parseDocument, OPERATOR_TOKEN);
    try {
      assertThat(run(admin, token, "out", "zone with ü")).isZero();
      assertThat(run(admin, token, "out", "za")).isZero();
      assertThat(run(admin, token, "status")).isZero();
      assertThat(gateway.control(0).zones(TIMEOUT).get().orElseThrow().outOfService())
          .containsExactlyInAnyOrder("zone with ü", "za");
      assertThat(run(admin, token, "in", "za")).isZero();
      assertThat(run(admin, token, "out", "x".repeat(256))).isEqualTo(2);
      assertThat(gateway.control(0).zones(TIMEOUT).get().orElseThrow().outOfService())
          .containsExactly("zone with ü");
    } finally {
      admin.stop();
      Files.delete(token);
    }
  }
}
