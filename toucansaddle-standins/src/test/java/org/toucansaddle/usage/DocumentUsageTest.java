package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.cli.CliMain;
import org.toucansaddle.daemon.gateway.GatewayAdmin;
import org.toucansaddle.daemon.gateway.TomlDocuments;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpRequest;

/** An operator replaces the configuration of a gateway with the command-line tool. */
public class DocumentUsageTest {

  private static final String TOKEN = "operators-token";

  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
  private LocalGateway gateway;
  private Undertow admin;
  private Path folder;

  @BeforeClass
  public void startGateway() throws Exception {
    folder = Files.createTempDirectory("documents");
    Files.writeString(folder.resolve("token"), TOKEN);
    Files.writeString(folder.resolve("wrong"), "guessed");
    gateway = new LocalGateway(TomlDocuments.format());
    admin =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setIoThreads(1)
            .setWorkerThreads(1)
            .setHandler(
                GatewayAdmin.handler(
                    gateway.control(2), TomlDocuments.format(), LocalFleet.digest(TOKEN)))
            .build();
    admin.start();
    LocalGateway.await(() -> document("put", text(3, "/old/"), "token") == 0);
  }

  @AfterClass(alwaysRun = true)
  public void stopGateway() throws Exception {
    client.close();
    admin.stop();
    gateway.close();
  }

  private static String text(long version, String prefix) {
    return """
        version = %d
        [[services]]
        name = "desk"
        [[routes]]
        name = "answers"
        host = "h.example"
        path_prefix = "%s"
        repetition = "once"
        timeout_millis = 4000
        service = "desk"
        """
        .formatted(version, prefix);
  }

  private int document(String verb, String text, String token) {
    try {
      Path file = Files.writeString(folder.resolve("document.toml"), text);
      InetSocketAddress bound = (InetSocketAddress) admin.getListenerInfo().get(0).getAddress();
      return CliMain.run(
          "document",
          verb,
          file.toString(),
          "--admin",
          "127.0.0.1:" + bound.getPort(),
          "--token-file",
          folder.resolve(token).toString());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private int status(int router, String path) {
    HttpRequest call =
        HttpRequest.post(gateway.callers(router), path, "x")
            .withHeader(Headers.HOST_STRING, LocalGateway.HOST)
            .withHeader("X-Request-Id", "r1");
    return client.send(call, Duration.ofSeconds(10)).join().status();
  }

  /** Without upstreams a route that is known answers 503, one that is not 404. */
  private boolean serves(String path, String not) {
    return status(0, path) == 503
        && status(1, path) == 503
        && status(0, not) == 404
        && status(1, not) == 404;
  }

  @Test
  public void shouldPutADocumentInForceAtEveryRouter() throws Exception {
    LocalGateway.await(() -> serves("/old/x", "/new/x"));
    assertThat(document("put", text(4, "/new/"), "token")).isZero();
    LocalGateway.await(() -> serves("/new/x", "/old/x"));
    assertThat(gateway.read(0)).isEqualTo(4);
  }

  @DataProvider
  public Object[][] mistakes() {
    String good = text(9, "/never/");
    return new Object[][] {
      // exit codes: 1 failed, 2 wrong usage, 3 conflict
      {"put", text(4, "/other/"), "token", 3},
      {"put", good.replace("timeout_millis", "timeout_milis"), "token", 2},
      {"put", good.replace("service = \"desk\"", "service = \"disk\""), "token", 2},
      {"put", "version = ", "token", 2},
      {"put", good, "wrong", 1},
      {"check", good.replace("once", "twice"), "token", 2},
      {"check", good, "token", 0},
    };
  }

  @Test(dataProvider = "mistakes", dependsOnMethods = "shouldPutADocumentInForceAtEveryRouter")
  public void shouldChangeNothingForAMistakeOrACheck(
      String verb, String text, String token, int exitCode) throws Exception {
    assertThat(document(verb, text, token)).isEqualTo(exitCode);
    assertThat(gateway.read(1)).isEqualTo(4);
  }
}
