package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.Daemon;
import org.toucansaddle.standins.load.Caller.Outcome;

/** Usage tests of mutual TLS between daemons. */
public class TlsUsageTest {

  private static final String PASSWORD = "changeit";

  private static Path createKeyStore(Path folder, String name) throws Exception {
    Path storeFile = folder.resolve(name + ".p12");
    runKeytool(
        List.of(
            "-genkeypair",
            "-alias",
            name,
            "-keyalg",
            "EC",
            "-dname",
            "CN=" + name,
            "-ext",
            "san=ip:127.0.0.1",
            "-storetype",
            "PKCS12",
            "-storepass",
            PASSWORD,
            "-keystore",
            storeFile.toString()));
    return storeFile;
  }

  private static Path createTrustStore(Path folder, String name, Path keyStore) throws Exception {
    Path certificate = folder.resolve(name + ".cer");
    Path storeFile = folder.resolve(name + "-trust.p12");
    runKeytool(
        List.of(
            "-exportcert",
            "-alias",
            name,
            "-storepass",
            PASSWORD,
            "-keystore",
            keyStore.toString(),
            "-file",
            certificate.toString()));
    runKeytool(
        List.of(
            "-importcert",
            "-noprompt",
            "-alias",
            name,
            "-storetype",
            "PKCS12",
            "-storepass",
            PASSWORD,
            "-keystore",
            storeFile.toString(),
            "-file",
            certificate.toString()));
    return storeFile;
  }

  private static void runKeytool(List<String> arguments) throws Exception {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "keytool").toString());
    command.addAll(arguments);
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    String output = new String(process.getInputStream().readAllBytes());
    assertThat(process.waitFor()).as(output).isZero();
  }

  private static String tlsSettings(Path keyStore, Path trustStore) {
    return """
        [peers.tls]
        key_store = "%s"
        trust_store = "%s"
        password = "%s"
        """
        .formatted(keyStore, trustStore, PASSWORD);
  }

  @Test
  public void shouldServeWithMutualTlsBetweenDaemons() throws Exception {
    Path folder = Files.createTempDirectory("tls");
    Path keyStore = createKeyStore(folder, "fleet");
    Path trustStore = createTrustStore(folder, "fleet", keyStore);
    try (LocalFleet fleet = LocalFleet.start(3, tlsSettings(keyStore, trustStore))) {
      fleet.configure();
      fleet.startEngine("engine-1", 2);
      fleet.await(() -> fleet.sendModelRequest(2, "over TLS").outcome() == Outcome.WHOLE);
    }
  }

  @Test
  public void shouldRejectDaemonWithUntrustedCertificate() throws Exception {
    Path folder = Files.createTempDirectory("tls");
    Path keyStore = createKeyStore(folder, "fleet");
    Path trustStore = createTrustStore(folder, "fleet", keyStore);
    Path untrustedKeyStore = createKeyStore(folder, "stranger");
    try (LocalFleet fleet = LocalFleet.start(3, tlsSettings(keyStore, trustStore))) {
      Daemon untrustedDaemon =
          fleet.startAdditionalDaemon(tlsSettings(untrustedKeyStore, trustStore));
      LocalFleet.sleep(4_000);
      assertThat(untrustedDaemon.isReady()).isFalse();
    }
  }
}
