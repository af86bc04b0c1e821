import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Case: a request crashes each worker that begins to run it and comes again; its clients leave
 * before the crash.
 */
final class DeadlyLeft {
  static final int WORKERS = 8;
  static final String SERVICE = "huvo11a";
  /** "Most workers drop a request when its channel closes"; the others run it on. */
  static final int DROPPING_WORKERS = 5;

  static final int CRASH_AFTER_MS = 500;

  /** Half of the objective of the route, 386 ms. */
  static final int LEAVES_AFTER_MS = 190;

  /** A worker's machine: after a crash the worker is back with a new id some seconds later. */
  static final class Machine {
    final Lab lab;
    final boolean drops;
    volatile Worker worker;

    Machine(Lab lab, boolean drops) throws IOException {
      this.lab = lab;
      this.drops = drops;
      start();
    }

    void start() throws IOException {
      worker = new Worker(lab, SERVICE, 6, lab.block + "60", this::handle);
    }

    boolean handle(Worker w, Worker.Request request, OutputStream out) throws Exception {
      if (request.path.endsWith("/17")) {
        arrivals.add(Lab.now());
        lab.note("worker %s begins to run %s %s", w.id, request.id(), request.path);
        if (drops && isClosedWithin(request.socket, CRASH_AFTER_MS)) {
          lab.note("worker %s drops %s: its channel is closed", w.id, request.id());
          return false;
        }
        if (!drops) Thread.sleep(CRASH_AFTER_MS);
        lab.note("worker %s crashes", w.id);
        crashes.add(Lab.now());
        w.close(); // all its channels end
        lab.timers.schedule(() -> { start(); return null; }, 3, TimeUnit.SECONDS);
        return false;
      }
      Thread.sleep(60);
      Worker.answer(out, 200, w.sealed(request), new byte[800]);
      return true;
    }
  }

  static final List<Double> arrivals = new CopyOnWriteArrayList<>();
  static final List<Double> crashes = new CopyOnWriteArrayList<>();

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
    for (int i = 0; i < WORKERS; i++) new Machine(lab, i < DROPPING_WORKERS);
    List<String> routes = List.of(Manifest.route("r-tdhbjph", "/pufi791/", "idempotent", SERVICE, true));
    if (!lab.putManifest(Manifest.of(7, List.of(SERVICE), routes, null), 30)) return 2;
    for (Lab.Proc router : lab.routers) if (!lab.await(20, () -> lab.ready(router))) return 2;
    Thread.sleep(3000);
    double end = Lab.now() + 62;
    AtomicInteger sound = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int c = 0; c < 6; c++) {
      int client = c;
      Thread thread = Lab.daemon("client").newThread(() -> {
        for (int n = 0; Lab.now() < end; n++) {
          int part = 100 + n % 50;
          int status = send(lab, client + n, "sound-" + client + "-" + n, path(part), false);
          sound.incrementAndGet();
          served.addAndGet(status == 200 ? 1 : 0);
          pause(150);
        }
      });
      thread.start();
      clients.add(thread);
    }
    for (int n = 0; Lab.now() < end - 4; n++) {
      if (trouble) {
        sendAndLeave(lab, n, "deadly-" + n, path(17));
      } else {
        send(lab, n, "deadly-" + n, path(17), true);
      }
      pause(2_300);
    }
    for (Thread thread : clients) thread.join();
    int late = 0;
    if (crashes.size() >= 3) {
      double third = crashes.get(2);
      late = (int) arrivals.stream().filter(at -> at > third + 3.1).count(); // StableWindowMs is 3,000; 0.1 s for the way
    }
    lab.note("result: the request crashed %d workers; it reached workers %d times later than 3 s after the third crash; "
        + "%d of %d other requests served", crashes.size(), late, served.get(), sound.get());
    if (served.get() < sound.get() / 4) return 2;
    return late > 3 ? 1 : 0;
  }

  /** Waits for a time, and returns whether the caller closed the channel meanwhile. */
  static boolean isClosedWithin(Socket socket, int millis) throws IOException {
    socket.setSoTimeout(millis);
    try {
      return socket.getInputStream().read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (SocketException e) {
      return true;
    }
  }

  static String path(int part) {
    return "/pufi791/2f/" + part;
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static void sendAndLeave(Lab lab, int i, String id, String path) {
    Lab.Proc router = lab.routers.get(i % lab.routers.size());
    try (Socket socket = Http.connect(router.front(), 1000)) {
      socket.getOutputStream().write(Http.head("GET", path,
          Map.of("Host", "ficu95.example", "Toucansaddle-Attempt-Id", id, "Toucansaddle-Deadline-Ms", "3000"), -1));
      pause(LEAVES_AFTER_MS);
      int answered = socket.getInputStream().available();
      lab.note("client: %s GET %s to %s: leaves after %d ms%s", id, path, router.name, LEAVES_AFTER_MS,
          answered > 0 ? ", with " + Http.readAnswer(socket.getInputStream()).status : "");
    } catch (IOException e) {
      lab.note("client: %s GET %s to %s: %s", id, path, router.name, e.getMessage());
    }
  }

  static int send(Lab lab, int i, String id, String path, boolean noted) {
    Lab.Proc router = lab.routers.get(i % lab.routers.size());
    String outcome;
    int status = 0;
    try {
      Http.Answer answer = Http.call(router.front(), "GET", path,
          Map.of("Host", "ficu95.example", "Toucansaddle-Attempt-Id", id, "Toucansaddle-Deadline-Ms", "3000"), null, 4000);
      status = answer.status;
      outcome = Integer.toString(status);
    } catch (IOException e) {
      outcome = e.getMessage();
    }
    if (noted || status != 200) lab.note("client: %s GET %s to %s: %s", id, path, router.name, outcome);
    return status;
  }
}
