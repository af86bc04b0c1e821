package org.toucansaddle.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import org.toucansaddle.daemon.Daemon;
import org.toucansaddle.standins.load.Caller.Outcome;

/** Daemons that talk over mutual TLS. */
public class TlsUsageTest {

  private static final String PASSWORD = "changeit";

  private static Path makeKeys(Path folder, String name) throws Exception {
    Path store = folder.resolve(name + ".p12");
    keytool(
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
            store.toString()));
    return store;
  }

  private static Path makeTrust(Path folder, String name, Path keys) throws Exception {
    Path certificate = folder.resolve(name + ".cer");
    Path store = folder.resolve(name + "-trust.p12");
    keytool(
        List.of(
            "-exportcert",
            "-alias",
            name,
            "-storepass",
            PASSWORD,
            "-keystore",
            keys.toString(),
            "-file",
            certificate.toString()));
    keytool(
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
            store.toString(),
            "-file",
            certificate.toString()));
    return store;
  }

  private static void keytool(List<String> arguments) throws Exception {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "keytool").toString());
    command.addAll(arguments);
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    String output = new String(process.getInputStream().readAllBytes());
    assertThat(process.waitFor()).as(output).isZero();
  }

  private static String tls(Path keys, Path trust) {
    return """
        [peers.tls]
        key_store = "%s"
        trust_store = "%s"
        password = "%s"
        """
        .formatted(keys, trust, PASSWORD);
  }

  @Test
  public void shouldServeWithMutualTlsBetweenDaemons() throws Exception {
    Path folder = Files.createTempDirectory("tls");
    Path keys = makeKeys(folder, "fleet");
    Path trust = makeTrust(folder, "fleet", keys);
    try (LocalFleet fleet = LocalFleet.start(3, tls(keys, trust))) {
      fleet.configure();
      fleet.startEngine("engine-1", 2);
      fleet.await(() -> fleet.sendModelRequest(2, "over TLS").outcome() == Outcome.WHOLE);
    }
  }

  @Test
  public void shouldAdmitNoDaemonWithAnotherAuthoritysCertificate() throws Exception {
    Path folder = Files.createTempDirectory("tls");
    Path keys = makeKeys(folder, "fleet");
    Path trust = makeTrust(folder, "fleet", keys);
    Path strange = makeKeys(folder, "stranger");
    try (LocalFleet fleet = LocalFleet.start(3, tls(keys, trust))) {
      Daemon stranger = fleet.startAdditionalDaemon(tls(strange, trust));
      LocalFleet.sleep(4_000);
      assertThat(stranger.isReady()).isFalse();
    }
  }
}
