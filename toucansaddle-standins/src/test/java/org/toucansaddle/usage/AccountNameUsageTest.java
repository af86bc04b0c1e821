package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.CallerLimits;
import org.toucansaddle.daemon.gateway.ClientAccount;
import org.toucansaddle.daemon.gateway.DocumentException;
import org.toucansaddle.daemon.gateway.FleetDocument;
import org.toucansaddle.daemon.gateway.Repetition;
import org.toucansaddle.daemon.gateway.Route;
import org.toucansaddle.daemon.gateway.ServiceDefinition;
import org.toucansaddle.daemon.gateway.WeightedService;
import org.toucansaddle.usage.RawCaller.RawResponse;
import org.toucansaddle.usage.ScriptedUpstreams.Exchange;

/** Usage tests of client accounts whose names or keys are not plain ASCII. */
public class AccountNameUsageTest {

  private static final String KEY_OF_CARON = "klju\u010D";
  private static final String KEY_OF_TILDE = "se\u00F1a";

  /** Names as they are in the document, and as upstreams receive them. */
  private static final String[][] NAMES = {
    {"ana", "ana"},
    {"\u0161na", utf8Bytes("\u0161na")},
    {"\u0141na", utf8Bytes("\u0141na")},
    {"\u4E61na", utf8Bytes("\u4E61na")},
    {"mari\u010Da", utf8Bytes("mari\u010Da")},
    {"pe\u00F1a", utf8Bytes("pe\u00F1a")},
    {"ana\u010D\u010AX-Injected: 1", utf8Bytes("ana\u010D\u010AX-Injected: 1")},
    {"\uD83D\uDC26", utf8Bytes("\uD83D\uDC26")},
    {"50% off", "50% off"},
    {"ana\r\nX-Injected: 1", "UTF-8''ana%0D%0AX-Injected%3A%201"},
    {" ana", "UTF-8''%20ana"},
    {"ana ", "UTF-8''ana%20"},
    {"ana\u0000", "UTF-8''ana%00"},
    {"\uD800", "UTF-8''%ED%A0%80"},
    {"?", "?"},
    {"UTF-8''ana", "UTF-8''UTF-8%27%27ana"},
  };

  private final Map<String, Map<String, String>> received = new ConcurrentHashMap<>();
  private LocalGateway gateway;
  private ScriptedUpstreams upstreams;

  private static String utf8Bytes(String text) {
    return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }

  @BeforeClass
  public void startGateway() throws Exception {
    gateway = new LocalGateway(AccountNameUsageTest::parseDocument);
    gateway.awaitServing();
    upstreams = new ScriptedUpstreams(gateway, 2, this::answer);
    LocalGateway.await(() -> send("warm", "key0", StandardCharsets.UTF_8).status() == 200);
  }

  @AfterClass(alwaysRun = true)
  public void stopGateway() throws Exception {
    upstreams.close();
    gateway.close();
  }

  private static FleetDocument parseDocument(byte[] content) throws DocumentException {
    long version = Long.parseLong(new String(content, StandardCharsets.UTF_8));
    List<WeightedService> services = List.of(new WeightedService("desk", 1));
    List<Route> routes = List.of(LocalGateway.route("once", Repetition.ONCE, 1, false, services));
    ServiceDefinition desk = new ServiceDefinition("desk", "/healthz", 100, Optional.empty());
    List<ClientAccount> accounts = new ArrayList<>();
    for (int i = 0; i < NAMES.length; i++) {
      accounts.add(new ClientAccount(NAMES[i][0], Set.of("key" + i)));
    }
    accounts.add(new ClientAccount("caron", Set.of(KEY_OF_CARON)));
    accounts.add(new ClientAccount("tilde", Set.of(KEY_OF_TILDE)));
    return new FleetDocument(
            version, routes, List.of(desk), Optional.of(accounts), CallerLimits.defaults())
        .validated();
  }

  private void answer(Exchange exchange) throws IOException {
    String injected = exchange.header("X-Injected");
    received.put(
        exchange.path(),
        Map.of("account", exchange.header("X-Client-Account"), "injected", injected));
    exchange.writeAnswer(200, "ok");
  }

  private RawResponse send(String name, String key, Charset charset) {
    String[] hostAndPort = gateway.callerAddress(0).split(":");
    try (Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]))) {
      socket.setSoTimeout(10_000);
      String head =
          "GET /once/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: r\r\nX-Api-Key: %s\r\n\r\n"
              .formatted(name, LocalGateway.HOST, key);
      socket.getOutputStream().write(head.getBytes(charset));
      return RawCaller.readResponse(new BufferedInputStream(socket.getInputStream()));
    } catch (IOException e) {
      throw new AssertionError("no response to the request of " + name, e);
    }
  }

  @DataProvider
  public Object[][] names() {
    Object[][] cases = new Object[NAMES.length][];
    for (int i = 0; i < NAMES.length; i++) {
      cases[i] = new Object[] {i};
    }
    return cases;
  }

  /** Guards against a name of which an upstream receives another account's name or two fields. */
  @Test(dataProvider = "names")
  public void shouldSendNameThatIsUnlikeAnyOtherToUpstream(int account) {
    RawResponse response = send("name" + account, "key" + account, StandardCharsets.UTF_8);
    assertThat(response.status()).isEqualTo(200);
    assertThat(received.get("/once/name" + account))
        .isEqualTo(Map.of("account", NAMES[account][1], "injected", ""));
  }

  @DataProvider
  public Object[][] keys() {
    return new Object[][] {
      {"caron", StandardCharsets.UTF_8},
      {"tilde", StandardCharsets.UTF_8},
      {"tilde", StandardCharsets.ISO_8859_1},
    };
  }

  /** Guards against keys of the document that no caller can send. */
  @Test(dataProvider = "keys")
  public void shouldAcceptKeyThatIsNotAscii(String account, Charset charset) {
    String key = account.equals("caron") ? KEY_OF_CARON : KEY_OF_TILDE;
    String name = "key-" + account + "-" + charset.name();
    assertThat(send(name, key, charset).status()).isEqualTo(200);
    assertThat(received.get("/once/" + name)).containsEntry("account", account);
  }
}
