package org.toucansaddle.daemon.internal.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.util.HexFormat;
import java.util.regex.Pattern;
import org.toucansaddle.daemon.internal.problem.ProblemException;
import org.toucansaddle.protocol.generated.ClientAccount;
import org.toucansaddle.protocol.generated.UpstreamKind;
import org.toucansaddle.protocol.generated.WorkClass;

/** Converts work classes and client accounts from and to JSON. Stateless and thread-safe. */
final class AdminJson {

  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9.-]{0,62}");
  private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");
  private static final int MAX_MILLIS = 24 * 60 * 60 * 1_000;
  private static final int MAX_KEYS = 16;
  private static final int BASIS_POINTS_PER_UNIT = 10_000;

  private AdminJson() {}

  static ObjectNode toJson(WorkClass workClass) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("name", workClass.getName())
        .put("kind", workClass.getKind() == UpstreamKind.MODEL ? "model" : "service")
        .put("pool", workClass.getPool())
        .put("first_token_millis", workClass.getFirstTokenMillis())
        .put("whole_answer_millis", workClass.getWholeAnswerMillis())
        .put("served_share", workClass.getServedShareBasisPoints() / (double) BASIS_POINTS_PER_UNIT)
        .put("idempotent", workClass.getIdempotent());
  }

  static WorkClass parseWorkClass(String name, ObjectNode body) {
    String kind = body.path("kind").asText("model");
    if (!kind.equals("model") && !kind.equals("service")) {
      throw badField("kind", "'model' or 'service'");
    }
    int firstTokenMillis = parseMillis(body, "first_token_millis");
    int wholeAnswerMillis = parseMillis(body, "whole_answer_millis");
    if (wholeAnswerMillis < firstTokenMillis) {
      throw badField("whole_answer_millis", "at least first_token_millis");
    }
    double servedShare = body.path("served_share").asDouble(0.99);
    if (!(servedShare > 0 && servedShare <= 1)) {
      throw badField("served_share", "above 0 and at most 1, such as 0.99");
    }
    return WorkClass.newBuilder()
        .setName(requireName("name", name))
        .setKind(kind.equals("model") ? UpstreamKind.MODEL : UpstreamKind.SERVICE)
        .setPool(requireName("pool", body.path("pool").asText()))
        .setFirstTokenMillis(firstTokenMillis)
        .setWholeAnswerMillis(wholeAnswerMillis)
        .setServedShareBasisPoints((int) Math.round(servedShare * BASIS_POINTS_PER_UNIT))
        .setIdempotent(body.path("idempotent").asBoolean(kind.equals("model")))
        .build();
  }

  private static int parseMillis(ObjectNode body, String field) {
    JsonNode node = body.path(field);
    if (!node.canConvertToInt() || node.asInt() < 1 || node.asInt() > MAX_MILLIS) {
      throw badField(field, "a whole number of milliseconds from 1 to " + MAX_MILLIS);
    }
    return node.asInt();
  }

  private static String requireName(String field, String value) {
    if (!NAME.matcher(value).matches()) {
      throw badField(field, "1 to 63 lower-case letters, digits, dots and hyphens");
    }
    return value;
  }

  static ClientAccount parseAccount(String name, ObjectNode body) {
    ClientAccount.Builder account = ClientAccount.newBuilder().setName(requireName("name", name));
    JsonNode digests = body.path("key_digests");
    if (!digests.isArray() || digests.isEmpty() || digests.size() > MAX_KEYS) {
      throw badField("key_digests", "a list of 1 to " + MAX_KEYS + " SHA-256 digests");
    }
    for (JsonNode digest : digests) {
      if (!DIGEST.matcher(digest.asText()).matches()) {
        throw badField("key_digests", "SHA-256 digests in 64 hexadecimal digits");
      }
      account.addKeyDigests(ByteString.copyFrom(HexFormat.of().parseHex(digest.asText())));
    }
    return account.build();
  }

  private static ProblemException badField(String field, String allowed) {
    return new ProblemException(AdminProblems.badField(field, allowed));
  }
}
