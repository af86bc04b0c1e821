package org.toucansaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.zones.AllowedRegions;
import org.toucansaddle.daemon.gateway.ServiceDefinition.WarmUp;

/** Tests of {@link TomlDocuments}. */
public class TomlDocumentsTest {

  private static final String VALID =
      """
      version = 7

      [limits]
      max_body_bytes = 1000000
      tokens_per_second = 250000

      [[services]]
      name = "chart-model"
      health_path = "/healthz"
      max_connections = 300
      engine = { slots = 64, memory_tokens = 345009 }
      warm_up = { millis = 3000, requests_per_second = 6.9 }

      [[services]]
      name = "buoys"

      [[routes]]
      name = "short-answer"
      host = "Charts.example"
      path_prefix = "/answers/"
      repetition = "stream"
      timeout_millis = 10000
      target_millis = 1000
      gap_target_millis = 600
      max_attempts = 2
      resumable = true
      services = [ { name = "chart-model", weight = 3 }, { name = "buoys" } ]

      [[routes]]
      name = "buoy"
      host = "charts.example"
      path_prefix = "/buoys/"
      repetition = "repeatable"
      timeout_millis = 3000
      priority = 1
      open = true
      service = "buoys"
      regions = [ "north", "south", "north" ]

      [[accounts]]
      name = "puntarenas"
      keys = [ "k1", "k2" ]
      regions = [ "south" ]
      """;

  private static FleetDocument read(String text) throws DocumentException {
    return TomlDocuments.format().read(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  public void shouldReadAllFieldsOfADocument() throws DocumentException {
    FleetDocument document = read(VALID);
    assertThat(document.version()).isEqualTo(7);
    assertThat(document.limits().maxBodyBytes()).isEqualTo(1_000_000);
    assertThat(document.limits().tokensPerSecond()).isEqualTo(250_000);
    assertThat(document.limits().maxHeaderBytes()).isEqualTo(16 << 10);
    assertThat(document.services().get(0).engine().orElseThrow().memoryTokens()).isEqualTo(345_009);
    assertThat(document.services().get(0).warmUp()).contains(new WarmUp(3_000, 6.9));
    assertThat(document.services().get(1).engine()).isEmpty();
    assertThat(document.services().get(1).warmUp()).isEmpty();
    assertThat(document.accounts().orElseThrow())
        .containsExactly(
            new ClientAccount(
                "puntarenas", Set.of("k1", "k2"), AllowedRegions.of(Set.of("south"))));
    Route stream = document.routes().get(0);
    assertThat(stream.host()).isEqualTo("charts.example");
    assertThat(stream.isStream() && stream.isRepeatable()).isTrue();
    assertThat(stream.services())
        .isEqualTo(List.of(new WeightedService("chart-model", 3), new WeightedService("buoys", 1)));
    Route buoy = document.routes().get(1);
    assertThat(buoy.targetMillis()).as("defaults to the timeout").isEqualTo(3_000);
    assertThat(buoy.open()).isTrue();
    assertThat(buoy.regions()).isEqualTo(AllowedRegions.of(Set.of("north", "south")));
    assertThat(stream.regions()).isEqualTo(AllowedRegions.any());
  }

  /** Guards against requests that run twice since a route without streams is marked resumable. */
  @Test
  public void shouldNotRepeatNonIdempotentRequestsOfRouteMarkedAsResumable()
      throws DocumentException {
    FleetDocument document = read(VALID.replace("\"stream\"", "\"once\""));
    assertThat(document.routes().get(0).isRepeatable()).isFalse();
  }

  @DataProvider
  public Object[][] documentsWithoutAccount() {
    return new Object[][] {{"version = 1", false}, {"version = 1\naccounts = []", true}};
  }

  /** Guards against a document that lets any key in once its last account has left. */
  @Test(dataProvider = "documentsWithoutAccount")
  public void shouldRequireKeysIfThereIsAListOfAccounts(String document, boolean requiresKeys)
      throws DocumentException {
    assertThat(read(document).requiresKeys()).isEqualTo(requiresKeys);
  }

  @DataProvider
  public Object[][] invalidEdits() {
    return new Object[][] {
      {"version = 7", "version = \"7\"", "'version' must be a whole number"},
      {"version = 7", "version = 0", "version 0 is not between"},
      {"version = 7", "", "'version' must be a whole number"},
      {"version = 7", "versions = 7\nversion = 7", "'versions' is not a known field"},
      {"target_millis = 1000", "tagret_millis = 1000", "routes 'short-answer': 'tagret_millis'"},
      {"\"stream\"", "\"sometimes\"", "must be repeatable, once or stream"},
      {"service = \"buoys\"", "service = \"boys\"", "service 'boys' does not exist"},
      {"open = true", "open = \"yes\"", "'open' must be true or false"},
      {"keys = [ \"k1\", \"k2\" ]", "keys = [ 1 ]", "a list of strings"},
      {"slots = 64", "slots = -1", "chart-model' engine: 'slots' must be a whole number"},
      {"requests_per_second = 6.9", "requests_per_second = 0", "must be a number above 0"},
      {"max_attempts = 2", "max_attempts = 3000000000", "at most 2147483647"},
      {"regions = [ \"south\" ]", "regions = []", "account 'puntarenas': the list of regions"},
      {"regions = [ \"south\" ]", "regions = \"south\"", "'regions' must be a list of strings"},
      {"\"north\", \"south\", \"north\"", "\"\"", "route 'buoy': the list of regions"},
      {"[limits]", "[limits", "not valid TOML"},
      {"/answers/", "/answers", "begin and end with a slash"},
    };
  }

  @Test(dataProvider = "invalidEdits")
  public void shouldRejectAnInvalidDocumentWithItsFault(
      String valid, String invalid, String message) {
    assertThat(VALID).contains(valid);
    assertThatThrownBy(() -> read(VALID.replace(valid, invalid)))
        .isInstanceOf(DocumentException.class)
        .hasMessageContaining(message);
  }
}
