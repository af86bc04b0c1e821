import java.io.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/** Case: a manifest adds a tenant whose name isn't ASCII; the worker is told another tenant. */
final class TenantName {
  static final int REQUESTS = 20;
  static final String KEY_OF_ANA = "asnmgkcuyj8pjbvk9m68";
  static final String KEY_ADDED = "k7b2ex5wa5xwyhks8nbk";

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Lab lab = new Lab(Path.of(args[0]))) {
      status = run(lab, trouble);
    } finally {
      System.exit(status);
    }
  }

  static int run(Lab lab, boolean trouble) throws Exception {
    lab.startFleet(3, 2);
    Map<String, String> ran = new ConcurrentHashMap<>();
    for (int i = 0; i < 3; i++) {
      new Worker(lab, "huvo11a", 6, lab.block + "60", (worker, request, out) -> {
        String tenant = request.headers.getOrDefault("Toucansaddle-Tenant", "");
        byte[] bytes = tenant.getBytes(StandardCharsets.ISO_8859_1); // as they came
        lab.note("worker %s runs %s, tenant bytes %s", worker.id, request.id(), HexFormat.of().formatHex(bytes));
        ran.put(request.id(), new String(bytes, StandardCharsets.UTF_8));
        Thread.sleep(60);
        Worker.answer(out, 200, worker.sealed(request), new byte[800]);
        return true;
      });
    }
    List<String> services = List.of("huvo11a");
    List<String> routes = List.of(Manifest.route("r-tdhbjph", "/pufi791/", "non_idempotent", "huvo11a", false));
    String ana = Manifest.tenant("ana", KEY_OF_ANA);
    if (!lab.putManifest(Manifest.of(7, services, routes, List.of(ana)), 30)) return 2;
    for (Lab.Proc router : lab.routers) if (!lab.await(20, () -> lab.ready(router))) return 2;
    String added = trouble ? "\u0161na" : "sna"; // with trouble the first letter is s with caron
    lab.note("operator: version 11 adds the tenant %s", added);
    if (!lab.putManifest(Manifest.of(11, services, routes, List.of(ana, Manifest.tenant(added, KEY_ADDED))), 30)) return 2;
    Thread.sleep(4000); // ConfigMs is 2,000
    int foreign = 0;
    int right = 0;
    for (int i = 0; i < REQUESTS; i++) {
      Lab.Proc router = lab.routers.get(i % lab.routers.size());
      for (String key : List.of(KEY_OF_ANA, KEY_ADDED)) {
        String id = (key.equals(KEY_ADDED) ? "added-" : "ana-") + i;
        Http.Answer answer = Http.call(router.front(), "POST", "/pufi791/2f",
            Map.of("Host", "ficu95.example", "Toucansaddle-Attempt-Id", id, "Toucansaddle-Deadline-Ms", "3000", "Toucansaddle-Credential", key), "x".getBytes(), 4000);
        lab.note("client: %s to %s: %d", id, router.name, answer.status);
      }
      String told = ran.getOrDefault("added-" + i, "");
      foreign += told.equals("ana") ? 1 : 0;
      right += told.equals(added) ? 1 : 0;
    }
    lab.note("result: %d of %d requests of the added tenant ran as those of the tenant ana; %d as its own", foreign, REQUESTS, right);
    return foreign > 0 ? 1 : right < REQUESTS / 2 ? 2 : 0;
  }
}
