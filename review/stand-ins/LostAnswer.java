import java.io.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Case: a non_idempotent route that has Resumable; workers run requests and lose answers. */
final class LostAnswer {
  static final int REQUESTS = 60;

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
    Map<String, Integer> runs = new ConcurrentHashMap<>();
    AtomicBoolean losing = new AtomicBoolean();
    Random random = new Random(38);
    for (int i = 0; i < 4; i++) {
      boolean loses = i < 2; // half of the workers
      new Worker(lab, "huvo11a", 6, lab.block + "60", (worker, request, out) -> {
        int count = runs.merge(request.id(), 1, Integer::sum);
        boolean lost = loses && losing.get() && random.nextDouble() < LOST;
        lab.note("worker %s runs %s, run %d%s", worker.id, request.id(), count, lost ? ", its answer is lost" : "");
        Thread.sleep(60);
        if (lost) {
          request.socket.setSoLinger(true, 0); // the channel is reset
          return false;
        }
        Worker.answer(out, 200, worker.sealed(request), new byte[800]);
        return true;
      });
    }
    String route = Manifest.route("r-tdhbjph", "/pufi791/", "non_idempotent", "huvo11a", true)
        .replace("\"MaxAttempts\":1", "\"MaxAttempts\":2").replace("\"Resumable\":false", "\"Resumable\":true");
    if (!lab.putManifest(Manifest.of(7, List.of("huvo11a"), List.of(route), null), 30)) return 2;
    for (Lab.Proc router : lab.routers) if (!lab.await(20, () -> lab.ready(router))) return 2;
    Thread.sleep(3000);
    lab.note("trouble: %s", trouble ? "answers are lost from now on" : "none");
    losing.set(trouble);
    double lostUntil = Lab.now() + 4.0;
    int answered = 0;
    for (int i = 0; i < REQUESTS; i++) {
      if (losing.get() && Lab.now() > lostUntil) {
        losing.set(false);
        lab.note("trouble: over");
      }
      Lab.Proc router = lab.routers.get(i % lab.routers.size());
      String id = "n-" + i;
      try {
        Http.Answer answer = Http.call(router.front(), "POST", "/pufi791/2f",
            Map.of("Host", "ficu95.example", "Toucansaddle-Attempt-Id", id, "Toucansaddle-Deadline-Ms", "3000"), ("order " + i).getBytes(), 4000);
        lab.note("client: %s to %s: %d", id, router.name, answer.status);
        answered += answer.status == 200 ? 1 : 0;
      } catch (IOException e) {
        lab.note("client: %s to %s: %s", id, router.name, e.getMessage());
      }
      Thread.sleep(30);
    }
    long twice = runs.values().stream().filter(count -> count > 1).count();
    lab.note("result: %d of %d requests ran more than once; %d answered with success", twice, REQUESTS, answered);
    return answered < REQUESTS / 4 ? 2 : twice > 0 ? 1 : 0;
  }

  private static final double LOST = 0.4;
}
