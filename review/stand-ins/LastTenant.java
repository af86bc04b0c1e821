import java.io.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/** Case: a manifest removes the last tenant; then keys that no manifest ever held are sent. */
final class LastTenant {
  static final int REQUESTS = 20;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Lab lab = new Lab(Path.of(args[0]))) {
      status = run(lab, trouble, args.length > 1);
    } finally {
      System.exit(status);
    }
  }

  static int run(Lab lab, boolean trouble, boolean keepsEntry) throws Exception {
    lab.startFleet(3, 2);
    Map<String, Worker.Request> ran = new ConcurrentHashMap<>();
    for (int i = 0; i < 3; i++) {
      new Worker(lab, "huvo11a", 6, lab.block + "60", (worker, request, out) -> {
        lab.note("worker %s runs %s, tenant %s", worker.id, request.id(), request.headers.get("Toucansaddle-Tenant"));
        ran.put(request.id(), request);
        Thread.sleep(60);
        Worker.answer(out, 200, worker.sealed(request), new byte[800]);
        return true;
      });
    }
    List<String> routes = List.of(Manifest.route("r-tdhbjph", "/pufi791/", "non_idempotent", "huvo11a", false));
    List<String> services = List.of("huvo11a");
    String first = Manifest.of(7, services, routes, List.of(Manifest.tenant("hule930", "asnmgkcuyj8pjbvk9m68"), Manifest.tenant("bova112", "k7b2ex5wa5xwyhks8nbk")));
    if (!lab.putManifest(first, 30)) return 2;
    for (Lab.Proc router : lab.routers) if (!lab.await(20, () -> lab.ready(router))) return 2;
    Thread.sleep(3000);
    int served = 0;
    for (int i = 0; i < REQUESTS; i++) {
      served += send(lab, i, "held-" + i, "asnmgkcuyj8pjbvk9m68") == 200 ? 1 : 0;
      if (send(lab, i, "before-" + i, "zz9neverheld000000" + i) != 401) return 2;
    }
    if (served < REQUESTS / 2) return 2;
    // One tenant leaves with each version; without trouble the second one stays. With an argument
    // it stays as well, but has no keys.
    String stays = Manifest.tenant("bova112", "k7b2ex5wa5xwyhks8nbk");
    if (!lab.putManifest(Manifest.of(9, services, routes, List.of(stays)), 30)) return 2;
    Thread.sleep(1500);
    if (trouble) {
      List<String> left = keepsEntry ? List.of(Manifest.tenant("bova112")) : List.of();
      lab.note("operator: the tenants of version 11 are %s", left);
      if (!lab.putManifest(Manifest.of(11, services, routes, left), 30)) return 2;
    }
    Thread.sleep(4000); // ConfigMs is 2,000
    int broken = 0;
    for (int i = 0; i < REQUESTS; i++) {
      send(lab, i, "never-" + i, "zz9neverheld000000" + i);
      send(lab, i, "revoked-" + i, "asnmgkcuyj8pjbvk9m68");
      broken += ran.containsKey("never-" + i) ? 1 : 0;
    }
    lab.note("result: %d of %d requests ran whose key no manifest ever held; %d of %d with a key that was taken away",
        broken, REQUESTS, ran.keySet().stream().filter(id -> id.startsWith("revoked-")).count(), REQUESTS);
    return broken > 0 ? 1 : 0;
  }

  static int send(Lab lab, int i, String id, String key) {
    Lab.Proc router = lab.routers.get(i % lab.routers.size());
    try {
      Http.Answer answer = Http.call(router.front(), "POST", "/pufi791/2f",
          Map.of("Host", "ficu95.example", "Toucansaddle-Attempt-Id", id, "Toucansaddle-Deadline-Ms", "3000", "Toucansaddle-Credential", key), "x".getBytes(), 4000);
      lab.note("client: %s with key %s to %s: %d", id, key, router.name, answer.status);
      return answer.status;
    } catch (IOException e) {
      lab.note("client: %s with key %s to %s: %s", id, key, router.name, e.getMessage());
      return 0;
    }
  }
}
