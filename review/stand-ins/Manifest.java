import java.util.*;

/** Manifests as PROTOCOL.md tells them. */
final class Manifest {
  private Manifest() {}

  static String route(String name, String prefix, String kind, String service, boolean open) {
    return "{\"Name\":\"" + name + "\",\"Host\":\"ficu95.example\",\"PathPrefix\":\"" + prefix + "\",\"RouteKind\":\"" + kind
        + "\",\"TimeoutMs\":3000,\"TargetLatencyMs\":386,\"Priority\":1,\"Service\":\"" + service + "\",\"MaxAttempts\":"
        + (kind.equals("idempotent") ? 2 : 1) + ",\"Public\":" + open + ",\"Sticky\":false,\"Resumable\":false,\"GapTargetMs\":0}";
  }

  static String tenant(String name, String... keys) {
    StringBuilder list = new StringBuilder();
    for (String key : keys) list.append(list.length() == 0 ? "" : ",").append('"').append(key).append('"');
    return "{\"Name\":\"" + name + "\",\"ApiKeys\":[" + list + "],\"Priority\":1}";
  }

  static String of(int version, List<String> services, List<String> routes, List<String> tenants) {
    StringBuilder s = new StringBuilder();
    for (String service : services)
      s.append(s.length() == 0 ? "" : ",").append("{\"Name\":\"").append(service).append("\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}");
    return "{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes) + "],\"Services\":[" + s
        + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000,\"TokensPerS\":133000}"
        + (tenants == null ? "" : ",\"Tenants\":[" + String.join(",", tenants) + "]") + "}";
  }
}
