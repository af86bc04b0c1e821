package org.toucansaddle.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Commands about client accounts. Used by one thread. */
@Command(
    name = "account",
    mixinStandardHelpOptions = true,
    description = "Shows and changes client accounts.")
public final class AccountCommands {

  private static final int KEY_BYTES = 32;

  @Spec private CommandSpec spec;

  private Printer printer() {
    return new Printer(spec.commandLine().getOut());
  }

  @Command(
      name = "list",
      mixinStandardHelpOptions = true,
      description = "Lists the client accounts.",
      footer = {"", "Example: toucansaddle account list"})
  void list(@Mixin AdminOptions admin) {
    try (AdminClient client = admin.createClient()) {
      JsonNode answer = client.get("accounts");
      if (admin.isJson()) {
        printer().printJson(answer);
        return;
      }
      printer().printTable(answer.path("accounts"), "name", "number", "keys", "revision");
    }
  }

  @Command(
      name = "put",
      mixinStandardHelpOptions = true,
      description = "Creates an account, or replaces its keys; only digests leave this machine.",
      footer = {
        "",
        "Examples:",
        "  toucansaddle account put lessor-north --new-key",
        "  toucansaddle account put lessor-north --key-digest 9f86d081...0f00a08"
      })
  void put(
      @Mixin AdminOptions admin,
      @Mixin ChangeOptions change,
      @Parameters(paramLabel = "NAME", description = "Name of the account.") String name,
      @Option(names = "--key-digest", description = "SHA-256 digest of a bearer key.")
          List<String> digests,
      @Option(names = "--new-key", description = "Make a new key and print it once.")
          boolean newKey) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    ArrayNode list = body.putArray("key_digests");
    if (digests != null) {
      digests.forEach(list::add);
    }
    String key = newKey ? randomKey() : "";
    if (newKey) {
      list.add(digest(key));
    }
    change.sendChange(admin, printer(), "PUT", "accounts", name, body);
    if (newKey) {
      printer().printLine("key: " + key);
    }
  }

  private static String randomKey() {
    byte[] bytes = new byte[KEY_BYTES];
    new SecureRandom().nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  private static String digest(String key) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("This Java runtime lacks SHA-256.", e);
    }
  }

  @Command(
      name = "delete",
      mixinStandardHelpOptions = true,
      description = "Deletes an account; its keys are refused from then on.",
      footer = {"", "Example: toucansaddle account delete lessor-north"})
  void delete(
      @Mixin AdminOptions admin,
      @Mixin ChangeOptions change,
      @Parameters(paramLabel = "NAME", description = "Name of the account.") String name) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    change.sendChange(admin, printer(), "DELETE", "accounts", name, body);
  }
}
