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
import org.toucansaddle.daemon.gateway.TomlDocuments;
import org.toucansaddle.http.HttpClient;
import org.toucansaddle.http.HttpClientSettings;
import org.toucansaddle.http.HttpRequest;

/** Usage tests of replacing the configuration of a gateway with the command-line tool. */
public class DocumentUsageTest {

  private static final String OPERATOR_TOKEN = "operators-token";

  private final HttpClient client = HttpClient.create(HttpClientSettings.defaults());
  private LocalGateway gateway;
  private Undertow admin;
  private Path folder;

  @BeforeClass
  public void startGateway() throws Exception {
    folder = Files.createTempDirectory("documents");
    Files.writeString(folder.resolve("token"), OPERATOR_TOKEN);
    Files.writeString(folder.resolve("wrong"), "guessed");
    gateway = new LocalGateway(TomlDocuments.format());
    admin = gateway.startAdmin(TomlDocuments.format(), OPERATOR_TOKEN);
    LocalGateway.await(() -> runDocumentCommand("put", createDocument(3, "/old/"), "token") == 0);
  }

  @AfterClass(alwaysRun = true)
  public void stopGateway() throws Exception {
    client.close();
    admin.stop();
    gateway.close();
  }

  private static String createDocument(long version, String prefix) {
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

  private int runDocumentCommand(String command, String documentToml, String tokenFile) {
    try {
      Path file = Files.writeString(folder.resolve("document.toml"), documentToml);
      InetSocketAddress bound = (InetSocketAddress) admin.getListenerInfo().get(0).getAddress();
      return CliMain.run(
          "document",
          command,
          file.toString(),
          "--admin",
          "127.0.0.1:" + bound.getPort(),
          "--token-file",
          folder.resolve(tokenFile).toString());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private int postAndGetStatus(int router, String path) {
    HttpRequest call =
        HttpRequest.post(gateway.callerAddress(router), path, "x")
            .withHeader(Headers.HOST_STRING, LocalGateway.HOST)
            .withHeader("X-Request-Id", "r1");
    return client.send(call, Duration.ofSeconds(10)).join().status();
  }

  /** Without upstreams, requests to known routes get 503 and those to unknown routes 404. */
  private boolean servesOnly(String path, String unknownPath) {
    return postAndGetStatus(0, path) == 503
        && postAndGetStatus(1, path) == 503
        && postAndGetStatus(0, unknownPath) == 404
        && postAndGetStatus(1, unknownPath) == 404;
  }

  @Test
  public void shouldApplyDocumentAtEveryRouter() throws Exception {
    LocalGateway.await(() -> servesOnly("/old/x", "/new/x"));
    assertThat(runDocumentCommand("put", createDocument(4, "/new/"), "token")).isZero();
    LocalGateway.await(() -> servesOnly("/new/x", "/old/x"));
    assertThat(gateway.readVersion(0)).isEqualTo(4);
  }

  @DataProvider
  public Object[][] rejectedCommands() {
    String validDocument = createDocument(9, "/never/");
    return new Object[][] {
      // Exit codes: 1 failure, 2 invalid usage, 3 conflict.
      {"put", createDocument(4, "/other/"), "token", 3},
      {"put", validDocument.replace("timeout_millis", "timeout_milis"), "token", 2},
      {"put", validDocument.replace("service = \"desk\"", "service = \"disk\""), "token", 2},
      {"put", "version = ", "token", 2},
      {"put", validDocument, "wrong", 1},
      {"check", validDocument.replace("once", "twice"), "token", 2},
      {"check", validDocument, "token", 0},
    };
  }

  @Test(dataProvider = "rejectedCommands", dependsOnMethods = "shouldApplyDocumentAtEveryRouter")
  public void shouldNotChangeDocumentByRejectedCommandOrCheck(
      String command, String documentToml, String tokenFile, int exitCode) throws Exception {
    assertThat(runDocumentCommand(command, documentToml, tokenFile)).isEqualTo(exitCode);
    assertThat(gateway.readVersion(1)).isEqualTo(4);
  }
}
