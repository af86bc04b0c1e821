import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.function.*;

/** A small deployment on loopback: the project's programs as processes, and stand-ins in threads. */
final class Lab implements AutoCloseable {
  /** A script runs for 120 s at most. */
  static final int MAX_SECONDS = 115;

  static final long START = System.nanoTime();
  final Path root = Path.of("").toAbsolutePath();
  final Path temp;
  final PrintStream record;
  final String block;
  final List<Proc> procs = new CopyOnWriteArrayList<>();
  final List<Proc> controls = new ArrayList<>();
  final List<Proc> routers = new ArrayList<>();
  final List<Closeable> closeables = new CopyOnWriteArrayList<>();
  final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4, daemon("timer"));
  int memoryMb = 280;
  private boolean ended;

  static ThreadFactory daemon(String name) {
    return r -> { Thread t = new Thread(r, name); t.setDaemon(true); return t; };
  }

  Lab(Path recordFile) throws IOException {
    record = new PrintStream(new FileOutputStream(recordFile.toFile()), true, StandardCharsets.UTF_8);
    temp = Path.of(System.getProperty("review.temp"));
    Random random = new Random();
    String found = null;
    for (int i = 0; i < 50 && found == null; i++) {
      String b = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
      try (ServerSocket s = new ServerSocket()) { s.bind(new InetSocketAddress(b + "10", 8785)); found = b; }
      catch (IOException e) { /* next */ }
    }
    block = found;
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    timers.schedule(
        () -> {
          note("result: the case could not end in time");
          System.exit(2);
        },
        MAX_SECONDS,
        TimeUnit.SECONDS);
  }

  static double now() { return (System.nanoTime() - START) / 1e9; }
  synchronized void note(String format, Object... args) {
    record.println(String.format(Locale.ROOT, "%8.3f ", now()) + String.format(Locale.ROOT, format, args));
  }

  /** One process of the deployment. */
  final class Proc {
    final String name; final String role; final String ip; final Path settings; final boolean core;
    Process process; int starts; boolean firstStart = true; volatile boolean expectedEnd;
    Proc(String name, String role, String ip, boolean core) {
      this.name = name; this.role = role; this.ip = ip; this.core = core;
      settings = temp.resolve(name + ".toml");
    }
    void start() throws IOException {
      synchronized (procs) {
        if (!ended) {
          startProcess();
        }
      }
    }

    private void startProcess() throws IOException {
      writeSettings(this);
      ProcessBuilder b = new ProcessBuilder(runLine(role));
      b.directory(root.toFile());
      b.environment().put("TOUCANSADDLE_CONFIG", settings.toString());
      b.redirectErrorStream(true);
      b.redirectOutput(ProcessBuilder.Redirect.appendTo(temp.resolve(name + ".log").toFile()));
      expectedEnd = false;
      process = b.start();
      // The guard of the script ends what is left of these.
      Files.writeString(temp.resolve("pids"), process.pid() + "\n", StandardOpenOption.APPEND);
      starts++;
      note("start %s pid=%d", name, process.pid());
      Process p = process;
      p.onExit().thenAccept(x -> note("end %s status=%d%s", name, x.exitValue(), expectedEnd ? "" : " BY ITSELF"));
      firstStart = false;
    }
    void signal(String s) throws Exception {
      if (s.equals("KILL") || s.equals("TERM")) expectedEnd = true;
      note("signal %s to %s", s, name);
      new ProcessBuilder("kill", "-" + s, Long.toString(process.pid())).start().waitFor();
    }
    String log() throws IOException { return Files.readString(temp.resolve(name + ".log")); }
    String front() { return ip + ":8783"; }
  }

  /** Returns the run line of a role in the deploy file, with its placeholder filled in. */
  List<String> runLine(String role) throws IOException {
    boolean inRole = false;
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      inRole = line.startsWith("[") ? line.trim().equals("[roles." + role + "]") : inRole;
      if (inRole && line.startsWith("run = ")) {
        String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return List.of(run.replace("{{Limits.MemoryMb}}", Integer.toString(memoryMb)).split(" "));
      }
    }
    throw new IOException("the deploy file has no role " + role);
  }

  String seeds() {
    StringBuilder s = new StringBuilder();
    for (Proc c : controls.subList(0, Math.min(3, controls.size()))) s.append(s.length() == 0 ? "" : ",").append('"').append(c.ip).append(":8785\"");
    return "[" + s + "]";
  }
  void writeSettings(Proc p) throws IOException {
    StringBuilder s = new StringBuilder();
    s.append("Node = \"").append(p.name).append("\"\nRole = \"").append(p.role).append("\"\n");
    s.append("MachineClass = \"").append(p.core ? "core" : "edge").append("\"\n");
    s.append("Serves = [\"").append(p.core ? "control" : "edge").append("\"]\nIp = \"").append(p.ip).append("\"\n");
    s.append("Zone = \"a\"\nRegion = \"r\"\nInternalPorts = [7400,7415]\nSeeds = ").append(seeds()).append('\n');
    s.append("FirstStart = ").append(p.firstStart).append("\nInTolerance = ").append(p.core).append('\n');
    if (p.core) s.append("DataDir = \"").append(Files.createDirectories(temp.resolve(p.name + ".data"))).append("\"\n");
    s.append("Discovery = \"registration\"\nEntry = \"vip\"\nHeartbeatMs = 1200\n");
    s.append("Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\"]\nConfigMode = \"highest\"\n");
    s.append("[Zones]\na = \"r\"\n[Listen]\n");
    if (p.core) s.append("Control = \"").append(p.ip).append(":8785\"\n");
    else s.append("Front = \"").append(p.ip).append(":8783\"\nReadiness = \"").append(p.ip).append(":8780\"\n");
    s.append("[Limits]\nCpuShare = 0.75\nCores = 1\nMemoryMb = ").append(p.core ? 426 : memoryMb).append("\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = ").append(p.core ? 128 : 0).append('\n');
    s.append("[FaultTolerance]\nMachines = ").append((controls.size() - 1) / 2).append("\nZones = 0\nRegions = 0\n");
    s.append("[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nStableWindowMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigMs = 2000\nRollbackSlackMs = 250\nOuterMs = 5000\nStrictRevoke = false\nRevokeMs = 5000\nRetryRatio = 0.2\nRetryWindowS = 10\nRetrySlack = 58\nRecoveryS = 12\nPassMs = 120\nReuseWindowS = 9.8\nQuotaWindowS = 4\n");
    Path t = temp.resolve(p.name + ".tmp");
    Files.writeString(t, s.toString());
    Files.move(t, p.settings, StandardCopyOption.ATOMIC_MOVE);
  }

  void startFleet(int controlCount, int routerCount) throws Exception {
    for (int i = 0; i < controlCount; i++) controls.add(new Proc("control" + i, "control", block + (10 + i), true));
    for (int i = 0; i < routerCount; i++) routers.add(new Proc("router" + i, "router", block + (30 + i), false));
    procs.addAll(controls); procs.addAll(routers);
    for (Proc p : procs) p.start();
  }

  boolean await(double seconds, Callable<Boolean> condition) throws Exception {
    double end = now() + seconds;
    while (now() < end) {
      try { if (condition.call()) return true; } catch (IOException e) { /* again */ }
      Thread.sleep(50);
    }
    return false;
  }

  boolean ready(Proc router) throws IOException {
    return Http.call(router.ip + ":8780", "GET", "/toucansaddle/readyz", Map.of("Host", "x"), null, 1000).status == 200;
  }

  /** Sends the manifest as the operator does, to any control daemon, until it is acknowledged. */
  boolean putManifest(String json, double seconds) throws Exception {
    double end = now() + seconds;
    for (int i = 0; now() < end; i++) {
      Proc c = controls.get(i % controls.size());
      try {
        Http.Answer a = Http.call(c.ip + ":8785", "PUT", "/toucansaddle/config", Map.of("Host", "c", "Content-Type", "application/json"), json.getBytes(StandardCharsets.UTF_8), 1000);
        note("operator: manifest to %s: %d", c.name, a.status);
        if (a.status == 200) return true;
        if (a.status == 409 || a.status == 400) return false;
      } catch (IOException e) { note("operator: manifest to %s: %s", c.name, e.getMessage()); }
      Thread.sleep(100);
    }
    return false;
  }

  void killAll() {
    synchronized (procs) {
      ended = true;
    }
    for (Proc p : procs) if (p.process != null) { p.expectedEnd = true; p.process.destroyForcibly(); }
    for (Proc p : procs) if (p.process != null) try { p.process.waitFor(5, TimeUnit.SECONDS); } catch (InterruptedException e) { return; }
  }
  @Override public void close() {
    timers.shutdownNow();
    for (Closeable c : closeables) try { c.close(); } catch (IOException e) { /* ends */ }
    killAll();
  }
}

