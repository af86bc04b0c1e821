package org.toucansaddle.daemon.internal.gateway.control;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucansaddle.daemon.gateway.StoredDocument;
import org.toucansaddle.daemon.gateway.UpstreamReport;
import org.toucansaddle.protocol.generated.AccountUse;
import org.toucansaddle.protocol.generated.FleetUpdate;
import org.toucansaddle.protocol.generated.FollowerReport;
import org.toucansaddle.protocol.generated.StoredDocumentMessage;
import org.toucansaddle.protocol.generated.UpstreamMessage;
import org.toucansaddle.protocol.generated.UpstreamWork;

/**
 * Tells the routers that follow this control daemon what it knows.
 *
 * <p>Changes that matter to requests go out at once, the rest a few times a second. A router that
 * does not read gets nothing more until it does; it then gets the newest state, not all states
 * between. Thread-safe.
 */
public final class FollowServer {

  private static final Logger LOG = LoggerFactory.getLogger(FollowServer.class);

  /** Silence of a router after which its stream is given up: five of its reports. */
  private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  /** Time that a router has to get a document from the daemon it asked for it: two reports. */
  private static final long BEHIND_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  private final Supplier<StoredDocument> document;
  private final UpstreamRegistry registry;
  private final Supplier<List<String>> controlAddresses;
  private final LongSupplier clock;
  private final String zone;
  private volatile long documentVersion;
  private volatile long documentSince;
  private volatile StoredDocumentMessage lastPacked = StoredDocumentMessage.getDefaultInstance();
  private final Set<Follower> followers = ConcurrentHashMap.newKeySet();
  private final RecentStrikes strikes;

  /** Creates a server without followers; {@code clock} gives nanoseconds. */
  public FollowServer(
      Supplier<StoredDocument> document,
      UpstreamRegistry registry,
      Supplier<List<String>> controlAddresses,
      LongSupplier clock,
      String zone) {
    this.zone = zone;
    this.document = document;
    this.registry = registry;
    this.controlAddresses = controlAddresses;
    this.clock = clock;
    this.strikes = new RecentStrikes(clock);
  }

  /** Takes a router's stream and returns the receiver of its reports. */
  public StreamObserver<FollowerReport> follow(StreamObserver<FleetUpdate> updates) {
    Follower follower = new Follower((ServerCallStreamObserver<FleetUpdate>) updates);
    follower.updates.setOnCancelHandler(() -> followers.remove(follower));
    return follower;
  }

  /** Returns the number of routers that follow. */
  public int followerCount() {
    return followers.size();
  }

  /** Sends what changed to all routers. */
  public void pushChanges() {
    long version = document.get().version();
    if (version > documentVersion) {
      documentVersion = version;
      documentSince = clock.getAsLong();
    }
    followers.forEach(Follower::push);
  }

  /** Gives up streams of silent routers, then sends a sign of life with what changed. */
  public void sendHeartbeats() {
    long now = clock.getAsLong();
    for (Follower follower : followers) {
      if (now - follower.heardAt > SILENT_NANOS) {
        LOG.info("dependency lost: router {} is silent", follower.router);
        follower.end();
      } else {
        follower.beat();
      }
    }
  }

  private Map<String, UpstreamWork> workOfOthers(Follower except) {
    Map<String, UpstreamWork> sums = new HashMap<>();
    for (Follower other : followers) {
      if (other != except) {
        other.work.forEach(work -> sums.merge(work.getUpstream(), work, FollowServer::add));
      }
    }
    return sums;
  }

  private Map<String, AccountUse> accountsOfOthers(Follower except) {
    Map<String, AccountUse> sums = new HashMap<>();
    for (Follower other : followers) {
      if (other != except) {
        other.accounts.forEach(use -> sums.merge(use.getAccount(), use, FollowServer::add));
      }
    }
    return sums;
  }

  private static AccountUse add(AccountUse a, AccountUse b) {
    return a.toBuilder()
        .setAsked(a.getAsked() + b.getAsked())
        .setAdmitted(a.getAdmitted() + b.getAdmitted())
        .setWork(a.getWork() + b.getWork())
        .build();
  }

  private static UpstreamWork add(UpstreamWork a, UpstreamWork b) {
    return a.toBuilder()
        .setRequests(a.getRequests() + b.getRequests())
        .setPendingTokens(a.getPendingTokens() + b.getPendingTokens())
        .setMemoryTokens(a.getMemoryTokens() + b.getMemoryTokens())
        .setStuck(a.getStuck() + b.getStuck())
        .setAnswered(a.getAnswered() + b.getAnswered())
        .build();
  }

  private StoredDocumentMessage packed(StoredDocument current) {
    StoredDocumentMessage last = lastPacked;
    if (last.getVersion() != current.version()) {
      last = DocumentCodec.encode(current);
      lastPacked = last;
    }
    return last;
  }

  /** One router's stream. */
  private final class Follower implements StreamObserver<FollowerReport> {
    private final ServerCallStreamObserver<FleetUpdate> updates;
    private volatile String router = "?";
    private volatile long heardAt = clock.getAsLong();
    private volatile List<UpstreamWork> work = List.of();
    private volatile List<AccountUse> accounts = List.of();
    private volatile boolean wantsSums;
    private volatile boolean wantsDocument;
    private long sentChange;
    private long sentStrike;
    private long sentVersion;
    private boolean sentAny;
    private boolean ended;

    Follower(ServerCallStreamObserver<FleetUpdate> updates) {
      this.updates = updates;
    }

    @Override
    public void onNext(FollowerReport report) {
      heardAt = clock.getAsLong();
      work = report.getWorkList();
      accounts = report.getAccountsList();
      wantsSums = report.getWantsSums();
      wantsDocument = report.getWantsDocument();
      synchronized (this) {
        sentVersion = Math.max(sentVersion, report.getDocumentVersion());
      }
      boolean struck = strikes.add(report.getStrikesList());
      if (report.getFirst()) {
        router = report.getRouter();
        followers.add(this);
        LOG.info("dependency regained: router {} follows", router);
        push();
      }
      if (struck) {
        FollowServer.this.pushChanges();
      }
    }

    @Override
    public void onError(Throwable failure) {
      followers.remove(this);
    }

    @Override
    public void onCompleted() {
      followers.remove(this);
    }

    synchronized void end() {
      followers.remove(this);
      ended = true;
      updates.onError(Status.UNAVAILABLE.withDescription("silent").asRuntimeException());
    }

    /** Sends what changed, if anything did. */
    synchronized void push() {
      StoredDocument current = document.get();
      boolean changed =
          isDocumentDue(current)
              || registry.lastChange() > sentChange
              || strikes.lastSequence() > sentStrike;
      if (changed || !sentAny) {
        send(FleetUpdate.newBuilder(), current);
      }
    }

    private boolean isDocumentDue(StoredDocument current) {
      return current.version() > sentVersion
          && (wantsDocument || clock.getAsLong() - documentSince > BEHIND_NANOS);
    }

    synchronized void beat() {
      FleetUpdate.Builder update =
          FleetUpdate.newBuilder()
              .addAllControlAddresses(controlAddresses.get())
              .setRouters(followers.size());
      if (wantsSums) {
        update.setSums(true);
        update.addAllWork(workOfOthers(this).values());
        update.addAllAccounts(accountsOfOthers(this).values());
      }
      send(update, document.get());
    }

    private void send(FleetUpdate.Builder update, StoredDocument current) {
      if (ended || updates.isCancelled() || !updates.isReady()) {
        return;
      }
      if (isDocumentDue(current)) {
        update.setDocument(packed(current));
        sentVersion = current.version();
      }
      if (!sentAny) {
        update.addAllControlAddresses(controlAddresses.get()).setZone(zone);
      }
      update.setComplete(!sentAny);
      long change = registry.lastChange();
      registry.changedAfter(sentChange).forEach(entry -> update.addUpstreams(encode(entry)));
      sentChange = change;
      long strike = strikes.lastSequence();
      update.addAllStrikes(strikes.after(sentStrike));
      sentStrike = strike;
      sentAny = true;
      updates.onNext(update.build());
    }

    private UpstreamMessage encode(UpstreamRegistry.Entry entry) {
      UpstreamReport report = entry.report();
      long ageNanos = clock.getAsLong() - entry.receivedAtNanos();
      return UpstreamMessage.newBuilder()
          .setId(report.id())
          .setService(report.service())
          .setAddress(report.address())
          .setZone(report.zone())
          .setSlots(report.slots())
          .setState(report.state().ordinal())
          .setStartedAtMillis(report.startedAtMillis())
          .setSequence(report.sequence())
          .setAgeMillis((int) TimeUnit.NANOSECONDS.toMillis(ageNanos))
          .build();
    }
  }
}
