package org.toucansaddle.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.sharing.SharingMode;

/** Tests that valid settings files are read and that every fault of invalid ones is reported. */
public class SettingsFileTest {

  private static final String VALID =
      """
      [daemon]
      name = "router-1"
      zone = "zone-a"
      fleet = "adriavion"
      [listen]
      callers = "10.0.0.4:8080"
      admin = "10.0.0.4:7200"
      peers = "10.0.0.4:7000"
      [peers]
      seeds = ["10.0.0.4:7000"]
      secret = "0123456789abcdef"
      [control]
      replicas = ["router-1", "router-2", "router-3"]
      data_folder = "/var/lib/toucansaddle"
      [admin]
      token_digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
      """;

  @Test
  public void shouldApplyDefaultsToValidFile() {
    DaemonSettings settings = SettingsFile.parse("test", VALID);
    assertThat(settings.identity().name()).isEqualTo("router-1");
    assertThat(settings.sharingMode()).isEqualTo(SharingMode.FLEET);
    assertThat(settings.control().isReplica()).isTrue();
    assertThat(settings.limits().maxBodyBytes()).isEqualTo(1 << 20);
  }

  @DataProvider
  static Object[][] faults() {
    return new Object[][] {
      {"name = \"router-1\"", "name = \"Router 1\"", "daemon.name"},
      {"name = \"router-1\"", "", "daemon.name is missing"},
      {"zone = \"zone-a\"", "zone = 3", "daemon.zone"},
      {"\"10.0.0.4:8080\"", "\"10.0.0.4\"", "listen.callers"},
      {"\"10.0.0.4:8080\"", "\"10.0.0.4:99999\"", "listen.callers"},
      {"0123456789abcdef", "short", "peers.secret"},
      {"seeds = [\"10.0.0.4:7000\"]", "seeds = [\"x\"]", "peers.seeds[0]"},
      {", \"router-3\"]", "]", "an odd number of names"},
      {"data_folder = \"/var/lib/toucansaddle\"", "", "control.data_folder"},
      {"token_digest = \"9f86", "token_digest = \"zz86", "admin.token_digest"},
      {"fleet = \"adriavion\"", "fleet = \"adriavion\"\ncolour = 1", "daemon.colour"},
      {"fleet = \"adriavion\"", "fleet = \"adriavion\"\n[strange]\nx = 1", "strange"},
      {"[listen]", "[limits]\nio_threads = 0\n[listen]", "limits.io_threads"},
      {"[listen]", "[limits]\nmax_body_bytes = \"big\"\n[listen]", "limits.max_body_bytes"},
      {"[listen]", "[sharing]\nmode = \"none\"\n[listen]", "sharing.mode"},
      {"[listen]", "[log]\nlevel = 7\n[listen]", "log.level"},
      {"[listen]", "[listen", "(syntax)"},
    };
  }

  @Test(dataProvider = "faults")
  public void shouldReportFaultWithKeyAndAllowedValues(
      String original, String replacement, String expectedText) {
    assertThat(VALID).contains(original);
    assertThatThrownBy(() -> SettingsFile.parse("test", VALID.replace(original, replacement)))
        .isInstanceOf(SettingsException.class)
        .hasMessageContaining(expectedText)
        .hasMessageContaining("allowed:");
  }

  @Test
  public void shouldReportAllFaultsAtOnce() {
    String text = VALID.replace("zone = \"zone-a\"", "zone = 3").replace(":8080", "");
    assertThatThrownBy(() -> SettingsFile.parse("test", text))
        .hasMessageContaining("2 fault(s)")
        .hasMessageContaining("daemon.zone")
        .hasMessageContaining("listen.callers");
  }

  @Test
  public void shouldReportMissingFile() {
    assertThatThrownBy(() -> SettingsFile.read(Path.of("no-such-file.toml")))
        .isInstanceOf(SettingsException.class)
        .hasMessageContaining("no-such-file.toml");
  }

  @Test
  public void shouldReturnSettingsOrTypedErrorForAnyText() {
    SplittableRandom random = new SplittableRandom(5);
    for (int round = 0; round < 3_000; round++) {
      StringBuilder text = new StringBuilder(VALID);
      for (int change = 0; change < 1 + random.nextInt(4); change++) {
        int position = random.nextInt(text.length());
        text.replace(
            position, Math.min(text.length(), position + random.nextInt(5)), randomText(random));
      }
      try {
        SettingsFile.parse("round " + round, text.toString());
      } catch (SettingsException e) {
        assertThat(e.faults()).isNotEmpty();
      }
    }
  }

  private static String randomText(SplittableRandom random) {
    String alphabet = "[]=\"'.,{}\n\t#0a-_\u00e9\u0000";
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < random.nextInt(4); i++) {
      text.append(alphabet.charAt(random.nextInt(alphabet.length())));
    }
    return text.toString();
  }
}
