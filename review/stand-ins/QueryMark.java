import java.io.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/** Case: requests whose query begins with a question mark. */
final class QueryMark {
  static final int REQUESTS = 20;

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
        lab.note("worker %s runs %s: %s %s", worker.id, request.id(), request.method, request.path);
        ran.put(request.id(), request.path);
        Thread.sleep(60);
        Worker.answer(out, 200, worker.sealed(request), new byte[800]);
        return true;
      });
    }
    String manifest = Manifest.of(7, List.of("huvo11a"),
        List.of(Manifest.route("r-tdhbjph", "/pufi791/", "idempotent", "huvo11a", true)), null);
    if (!lab.putManifest(manifest, 30)) return 2;
    for (Lab.Proc router : lab.routers) if (!lab.await(20, () -> lab.ready(router))) return 2;
    Thread.sleep(3000);
    int changed = 0;
    for (int i = 0; i < REQUESTS; i++) {
      String id = "q-" + i;
      // RFC 3986, 3.4: a query may hold "?".
      String path = "/pufi791/2f?" + (trouble ? "?" : "") + "part=" + i + "?x=1";
      Lab.Proc router = lab.routers.get(i % lab.routers.size());
      Http.Answer answer = Http.call(router.front(), "GET", path,
          Map.of("Host", "ficu95.example", "Toucansaddle-Attempt-Id", id, "Toucansaddle-Deadline-Ms", "3000"), null, 4000);
      lab.note("client: %s GET %s to %s: %d", id, path, router.name, answer.status);
      if (ran.containsKey(id) && !ran.get(id).equals(path)) changed++;
    }
    lab.note("result: %d of %d ran with another query than the client's; %d ran", changed, REQUESTS, ran.size());
    return ran.size() < REQUESTS / 2 ? 2 : changed > 0 ? 1 : 0;
  }
}
