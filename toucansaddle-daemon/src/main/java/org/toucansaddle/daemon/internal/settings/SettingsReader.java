package org.toucansaddle.daemon.internal.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.toucansaddle.coordination.sharing.SharingMode;
import org.toucansaddle.daemon.settings.DaemonSettings;
import org.toucansaddle.daemon.settings.SettingsException;
import org.toucansaddle.daemon.settings.SettingsFault;

/**
 * Validates one parsed settings file and collects all of its faults.
 *
 * <p>Single use; not thread-safe.
 */
public final class SettingsReader {

  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
  private static final Pattern ADDRESS = Pattern.compile("[0-9A-Za-z.\\-\\[\\]:]+:[0-9]{1,5}");
  private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");
  private static final int MIN_SECRET_LENGTH = 16;
  private static final int MAX_PORT = 65_535;
  private static final int DEFAULT_MAX_BODY_BYTES = 1 << 20;
  private static final int DEFAULT_MAX_QUEUED_PER_ACCOUNT = 256;
  private static final int DEFAULT_STALL_MILLIS = 2_000;
  private static final int DEFAULT_IO_THREADS = 2;

  private final JsonNode root;
  private final List<SettingsFault> faults = new ArrayList<>();
  private final Set<String> knownKeys = new HashSet<>();

  /** Creates a reader of the root table of a parsed file. */
  public SettingsReader(JsonNode root) {
    this.root = root;
  }

  /**
   * Returns the settings.
   *
   * @param fileName name of the file, for messages
   * @throws SettingsException with every fault of the file
   */
  public DaemonSettings read(String fileName) {
    DaemonSettings settings =
        new DaemonSettings(
            identity(), listen(), peers(), control(), admin(), log(), limits(), sharingMode());
    checkControlReplicas(settings);
    rejectUnknownKeys("", root);
    if (!faults.isEmpty()) {
      throw new SettingsException(fileName, faults);
    }
    return settings;
  }

  private DaemonSettings.Identity identity() {
    String allowed = "1 to 63 lower-case letters, digits and hyphens";
    return new DaemonSettings.Identity(
        string("daemon.name", matches(NAME), allowed, "write name = \"router-1\""),
        string("daemon.zone", matches(NAME), allowed, "write zone = \"zone-a\""),
        string("daemon.fleet", matches(NAME), allowed, "write fleet = \"adriavion\""));
  }

  private DaemonSettings.Listen listen() {
    String callers = address("listen.callers");
    String admin = address("listen.admin");
    String peers = address("listen.peers");
    String advertisedKey = "listen.advertised_peers";
    knownKeys.add(advertisedKey);
    boolean isAbsent = node(advertisedKey).isMissingNode();
    return new DaemonSettings.Listen(
        callers, admin, peers, isAbsent ? peers : address(advertisedKey));
  }

  private String address(String key) {
    String remedy = "write \"10.0.0.4:8080\"";
    return string(key, SettingsReader::isAddress, "IP address and port", remedy);
  }

  private static boolean isAddress(String value) {
    if (!ADDRESS.matcher(value).matches()) {
      return false;
    }
    int port = Integer.parseInt(value.substring(value.lastIndexOf(':') + 1));
    return port <= MAX_PORT;
  }

  private DaemonSettings.Peers peers() {
    List<String> seeds =
        strings(
            "peers.seeds",
            SettingsReader::isAddress,
            "list of peer addresses",
            "write seeds = [\"10.0.0.4:7000\"]");
    String secret =
        string(
            "peers.secret",
            value -> value.length() >= MIN_SECRET_LENGTH,
            "at least " + MIN_SECRET_LENGTH + " characters, the same on all daemons",
            "generate one with 'openssl rand -hex 32'");
    return new DaemonSettings.Peers(seeds, secret, tls());
  }

  private Optional<DaemonSettings.Tls> tls() {
    boolean present = !root.at("/peers/tls").isMissingNode();
    if (!present) {
      return Optional.empty();
    }
    String allowed = "path of a PKCS #12 file";
    Predicate<String> nonEmpty = value -> !value.isEmpty();
    String keyStore = string("peers.tls.key_store", nonEmpty, allowed, "create one with 'keytool'");
    String trustStore =
        string("peers.tls.trust_store", nonEmpty, allowed, "create one with 'keytool'");
    String password =
        string(
            "peers.tls.password", nonEmpty, "password of both files", "write password = \"...\"");
    return Optional.of(new DaemonSettings.Tls(Path.of(keyStore), Path.of(trustStore), password));
  }

  private DaemonSettings.Control control() {
    List<String> replicas =
        strings(
            "control.replicas",
            matches(NAME),
            "names of 1, 3 or 5 daemons",
            "write replicas = [\"router-1\", \"router-2\", \"router-3\"]");
    String key = "control.data_folder";
    knownKeys.add(key);
    JsonNode folder = node(key);
    if (folder.isMissingNode()) {
      return new DaemonSettings.Control(replicas, Optional.empty());
    }
    String path =
        string(key, v -> !v.isEmpty(), "path of a folder", "write data_folder = \"/var/lib/x\"");
    return new DaemonSettings.Control(replicas, Optional.of(Path.of(path)));
  }

  private void checkControlReplicas(DaemonSettings settings) {
    int count = settings.control().replicas().size();
    if (count % 2 == 0) {
      addFault(
          "control.replicas",
          String.valueOf(settings.control().replicas()),
          "an odd number of names",
          "list 1, 3 or 5 daemons whose VMs have a disk");
    }
    boolean isListed = settings.control().replicas().contains(settings.identity().name());
    if (isListed && !settings.control().isReplica()) {
      addFault(
          "control.data_folder",
          "",
          "required, because control.replicas names this daemon",
          "write data_folder = \"/var/lib/toucansaddle\"");
    }
  }

  private DaemonSettings.Admin admin() {
    return new DaemonSettings.Admin(
        string(
            "admin.token_digest",
            matches(DIGEST),
            "SHA-256 digest in 64 hexadecimal digits",
            "compute it with 'printf %s TOKEN | sha256sum'"));
  }

  private DaemonSettings.Log log() {
    String format = choice("log.format", "text", List.of("text", "json"));
    String level = choice("log.level", "info", List.of("error", "warn", "info", "debug"));
    return new DaemonSettings.Log(format.equals("json"), level);
  }

  private DaemonSettings.Limits limits() {
    return new DaemonSettings.Limits(
        integer("limits.max_body_bytes", DEFAULT_MAX_BODY_BYTES, 1_024, 64 << 20),
        integer("limits.max_queued_per_account", DEFAULT_MAX_QUEUED_PER_ACCOUNT, 1, 100_000),
        integer("limits.stall_millis", DEFAULT_STALL_MILLIS, 100, 60_000),
        integer("limits.io_threads", DEFAULT_IO_THREADS, 1, 64));
  }

  private SharingMode sharingMode() {
    String mode = choice("sharing.mode", "fleet", List.of("fleet", "local"));
    return SharingMode.valueOf(mode.toUpperCase(Locale.ROOT));
  }

  private static Predicate<String> matches(Pattern pattern) {
    return value -> pattern.matcher(value).matches();
  }

  private JsonNode node(String key) {
    return root.at("/" + key.replace('.', '/'));
  }

  private void addFault(String key, String value, String allowed, String remedy) {
    faults.add(new SettingsFault(key, value, allowed, remedy));
  }

  private String string(String key, Predicate<String> isValid, String allowed, String remedy) {
    knownKeys.add(key);
    JsonNode node = node(key);
    if (node.isTextual() && isValid.test(node.asText())) {
      return node.asText();
    }
    addFault(key, node.isMissingNode() ? "" : node.asText(node.toString()), allowed, remedy);
    return "";
  }

  private List<String> strings(
      String key, Predicate<String> isValid, String allowed, String remedy) {
    knownKeys.add(key);
    JsonNode node = node(key);
    List<String> values = new ArrayList<>();
    if (!node.isArray() || node.isEmpty()) {
      addFault(key, node.isMissingNode() ? "" : node.toString(), allowed, remedy);
      return values;
    }
    for (int i = 0; i < node.size(); i++) {
      JsonNode item = node.get(i);
      if (item.isTextual() && isValid.test(item.asText())) {
        values.add(item.asText());
      } else {
        addFault(key + "[" + i + "]", item.toString(), allowed, remedy);
      }
    }
    return values;
  }

  private String choice(String key, String defaultValue, List<String> allowed) {
    knownKeys.add(key);
    JsonNode node = node(key);
    if (node.isMissingNode()) {
      return defaultValue;
    }
    if (node.isTextual() && allowed.contains(node.asText())) {
      return node.asText();
    }
    addFault(key, node.toString(), "one of " + allowed, "write \"" + defaultValue + "\"");
    return defaultValue;
  }

  private int integer(String key, int defaultValue, int min, int max) {
    knownKeys.add(key);
    JsonNode node = node(key);
    if (node.isMissingNode()) {
      return defaultValue;
    }
    if (node.canConvertToInt() && node.isIntegralNumber()) {
      int value = node.asInt();
      if (value >= min && value <= max) {
        return value;
      }
    }
    String allowed = "integer from " + min + " to " + max;
    addFault(key, node.toString(), allowed, "write " + defaultValue + ", the default");
    return defaultValue;
  }

  private void rejectUnknownKeys(String prefix, JsonNode table) {
    table
        .fields()
        .forEachRemaining(
            field -> {
              String key = prefix + field.getKey();
              boolean isTable = knownKeys.stream().anyMatch(k -> k.startsWith(key + "."));
              if (isTable && field.getValue().isObject()) {
                rejectUnknownKeys(key + ".", field.getValue());
              } else if (!knownKeys.contains(key)) {
                addFault(
                    key,
                    field.getValue().toString(),
                    "a known key",
                    "remove it or correct its name");
              }
            });
  }
}
