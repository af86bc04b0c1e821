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

/** Commands that manage client accounts. Not thread-safe. */
@Command(
    name = "account",
    mixinStandardHelpOptions = true,
    description = "Lists, changes and deletes client accounts.")
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
  void list(@Mixin AdminOptions adminOptions) {
    try (AdminClient client = adminOptions.createClient()) {
      JsonNode response = client.get("accounts");
      if (adminOptions.isJson()) {
        printer().printJson(response);
        return;
      }
      printer().printTable(response.path("accounts"), "name", "number", "keys", "revision");
    }
  }

  @Command(
      name = "put",
      mixinStandardHelpOptions = true,
      description = "Creates an account or replaces its keys; only digests of the keys are sent.",
      footer = {
        "",
        "Examples:",
        "  toucansaddle account put lessor-north --new-key",
        "  toucansaddle account put lessor-north --key-digest 9f86d081...0f00a08"
      })
  void put(
      @Mixin AdminOptions adminOptions,
      @Mixin ChangeOptions changeOptions,
      @Parameters(paramLabel = "NAME", description = "Name of the account.") String name,
      @Option(names = "--key-digest", description = "SHA-256 digest of a bearer key.")
          List<String> digests,
      @Option(names = "--new-key", description = "Generate a new key and print it once.")
          boolean newKey) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    ArrayNode digestArray = body.putArray("key_digests");
    if (digests != null) {
      digests.forEach(digestArray::add);
    }
    String key = newKey ? randomKey() : "";
    if (newKey) {
      digestArray.add(digest(key));
    }
    changeOptions.sendChange(adminOptions, printer(), "PUT", "accounts", name, body);
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
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha256.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("This Java runtime does not support SHA-256.", e);
    }
  }

  @Command(
      name = "delete",
      mixinStandardHelpOptions = true,
      description = "Deletes an account; its keys are rejected afterwards.",
      footer = {"", "Example: toucansaddle account delete lessor-north"})
  void delete(
      @Mixin AdminOptions adminOptions,
      @Mixin ChangeOptions changeOptions,
      @Parameters(paramLabel = "NAME", description = "Name of the account.") String name) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    changeOptions.sendChange(adminOptions, printer(), "DELETE", "accounts", name, body);
  }
}
