package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.gateway.ControlGateway.PutOutcome;
import org.toucansaddle.daemon.gateway.DocumentException;
import org.toucansaddle.daemon.gateway.TomlDocuments;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpRequest;
import org.toucansaddle.http.HttpResponse;

/**
 * Usage tests of documents whose last client account has left, and of documents without accounts.
 */
public class LastAccountUsageTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final Duration PUT_TIMEOUT = Duration.ofSeconds(2);
  private static final int ROUTERS = 2;

  /** Status of a request that is let in: the service has no upstream. */
  private static final int LET_IN = 503;

  private static final String NO_LIST = "";
  private static final String EMPTY_LIST = "accounts = []\n";
  private static final String ONE_ACCOUNT =
      "accounts = [ { name = \"captain\", keys = [ \"key-of-captain\" ] } ]\n";

  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
  private LocalGateway gateway;
  private long version;

  @BeforeMethod
  public void startGateway() throws Exception {
    gateway = new LocalGateway(TomlDocuments.format());
    apply(ONE_ACCOUNT);
  }

  @AfterMethod(alwaysRun = true)
  public void stopGateway() throws Exception {
    gateway.close();
  }

  /** Stores the next version and waits until all routers have it. */
  private void apply(String accounts) throws InterruptedException {
    version++;
    byte[] document = document(accounts).getBytes(StandardCharsets.UTF_8);
    LocalGateway.await(() -> isStored(document));
    awaitVersionAtRouters();
  }

  /** Each version has a route of its own, which shows that a router follows it. */
  private String document(String accounts) {
    String routes = route("answers", "/answers/", false) + route("open", "/open/", true);
    return "version = "
        + version
        + "\n"
        + accounts
        + "[[services]]\nname = \"desk\"\n"
        + routes
        + route("version", "/version" + version + "/", true);
  }

  private static String route(String name, String prefix, boolean open) {
    return """
        [[routes]]
        name = "%s"
        host = "h.example"
        path_prefix = "%s"
        repetition = "once"
        timeout_millis = 4000
        service = "desk"
        open = %s
        """
        .formatted(name, prefix, open);
  }

  private boolean isStored(byte[] document) {
    try {
      return gateway.control(0).put(document, PUT_TIMEOUT).get() == PutOutcome.ACCEPTED;
    } catch (DocumentException | InterruptedException | ExecutionException e) {
      throw new AssertionError(e);
    }
  }

  private void awaitVersionAtRouters() throws InterruptedException {
    for (int router = 0; router < ROUTERS; router++) {
      int index = router;
      LocalGateway.await(
          () -> {
            HttpResponse response = send(index, "/version" + version + "/x", "none");
            return response.text().contains("no-upstream");
          });
    }
  }

  private HttpResponse send(int router, String path, String key) {
    HttpRequest request =
        HttpRequest.post(gateway.callerAddress(router), path, "x")
            .withHeader(Headers.HOST_STRING, LocalGateway.HOST)
            .withHeader("X-Request-Id", "r1")
            .withHeader("X-Api-Key", key);
    return client.send(request, TIMEOUT).join();
  }

  private void assertStatus(String key, int expected) {
    for (int router = 0; router < ROUTERS; router++) {
      assertThat(send(router, "/answers/x", key).status())
          .as("router %d, key %s", router, key)
          .isEqualTo(expected);
      assertThat(send(router, "/open/x", key).status()).isEqualTo(LET_IN);
    }
  }

  /** Guards against a document that lets any key in once its last account has left. */
  @Test
  public void shouldLetNoKeyInAfterLastAccountHasLeft() throws Exception {
    assertStatus(LocalGateway.API_KEY, LET_IN);
    assertStatus("never-held", 401);
    apply(EMPTY_LIST);
    assertStatus(LocalGateway.API_KEY, 401);
    assertStatus("never-held", 401);
  }

  /** Guards against an empty list that is lost in storage or on the way to a new router. */
  @Test
  public void shouldLetNoKeyInAfterRestarts() throws Exception {
    apply(EMPTY_LIST);
    gateway.restartControls();
    for (int router = 0; router < ROUTERS; router++) {
      gateway.restartRouter(router);
    }
    awaitVersionAtRouters();
    assertStatus("never-held", 401);
  }

  @Test
  public void shouldNeedNoKeyWithoutListOfAccounts() throws Exception {
    apply(NO_LIST);
    assertStatus("never-held", LET_IN);
    apply(EMPTY_LIST);
    assertStatus("never-held", 401);
  }
}
