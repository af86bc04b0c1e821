package org.toucansaddle.coordination.internal.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.toucansaddle.coordination.replication.HardState;
import org.toucansaddle.coordination.replication.LogEntry;
import org.toucansaddle.coordination.replication.LogStorage;
import org.toucansaddle.coordination.replication.RaftMessage;
import org.toucansaddle.coordination.replication.RaftMessage.AppendRequest;
import org.toucansaddle.coordination.replication.RaftMessage.AppendResponse;
import org.toucansaddle.coordination.replication.RaftMessage.SnapshotRequest;
import org.toucansaddle.coordination.replication.RaftMessage.VoteRequest;
import org.toucansaddle.coordination.replication.RaftMessage.VoteResponse;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicaSet;
import org.toucansaddle.coordination.replication.ReplicaStatus;
import org.toucansaddle.coordination.replication.ReplicaStatus.Role;
import org.toucansaddle.coordination.replication.ReplicaTransport;
import org.toucansaddle.coordination.replication.ReplicatedLog;
import org.toucansaddle.coordination.replication.ReplicationErrors;
import org.toucansaddle.coordination.replication.ReplicationSettings;
import org.toucansaddle.coordination.replication.Snapshot;
import org.toucansaddle.coordination.replication.StateMachine;

/**
 * Raft with pre-vote, check-quorum, leader lease, learners and single-server membership changes.
 *
 * <p>Invariants: a replica votes at most once per term; a leader commits by counting replicas only
 * entries of its own term; an outgoing message is sent only after the state it reveals is synced.
 * Not thread-safe.
 */
public final class RaftReplica implements ReplicatedLog {

  private record Outgoing(ReplicaId to, RaftMessage message) {}

  private final ReplicationSettings settings;
  private final ReplicaId self;
  private final LogStorage storage;
  private final ReplicaTransport transport;
  private final LongSupplier clockMillis;
  private final MemberHistory memberHistory;
  private final FollowerLog followerLog;
  private final Applier applier;
  private final Election election;
  private final PendingCalls pendingCalls = new PendingCalls();
  private final List<Outgoing> outbox = new ArrayList<>();

  private Role role = Role.FOLLOWER;
  private Optional<ReplicaId> leader = Optional.empty();
  private LeaderState leaderState;
  private long commitIndex;
  private long durableIndex;
  private long nextHeartbeatAtMillis;
  private boolean hasUnsyncedWrites;

  /** Creates a replica from its storage; {@code clockMillis} is a monotonic clock. */
  public RaftReplica(
      ReplicationSettings settings,
      ReplicaId self,
      LogStorage storage,
      StateMachine stateMachine,
      ReplicaTransport transport,
      LongSupplier clockMillis,
      SplittableRandom random) {
    this.settings = settings;
    this.self = self;
    this.storage = storage;
    this.transport = transport;
    this.clockMillis = clockMillis;
    this.memberHistory = new MemberHistory(storage);
    this.followerLog = new FollowerLog(storage);
    this.applier = new Applier(storage, stateMachine, memberHistory, settings.snapshotEntries());
    this.election = new Election(settings.electionTimeoutMillis(), random, clockMillis.getAsLong());
    this.commitIndex = storage.snapshot().lastIndex();
    this.durableIndex = storage.lastIndex();
  }

  @Override
  public void bootstrap(ReplicaSet voters) {
    if (storage.lastIndex() > 0 || storage.hardState().term() > 0) {
      return;
    }
    saveTermAndVote(1, Optional.empty());
    append(List.of(new LogEntry(1, 1, LogEntry.Kind.MEMBERS, ReplicaSetCodec.encode(voters))));
  }

  @Override
  public void receive(ReplicaId from, RaftMessage message) {
    if (message instanceof VoteRequest request) {
      onVoteRequest(from, request);
      return;
    }
    if (message instanceof VoteResponse response) {
      onVoteResponse(from, response);
      return;
    }
    if (message.term() > term()) {
      becomeFollower(message.term());
    }
    if (message instanceof AppendRequest request) {
      onAppendRequest(from, request);
    } else if (message instanceof SnapshotRequest request) {
      onSnapshotRequest(from, request);
    } else if (message instanceof AppendResponse response) {
      onAppendResponse(from, response);
    }
  }

  @Override
  public void tick() {
    long nowMillis = clockMillis.getAsLong();
    if (role == Role.LEADER) {
      if (nowMillis - leaderState.quorumRoundSentAtMillis()
          > 2L * settings.electionTimeoutMillis()) {
        becomeFollower(term());
      } else if (nowMillis >= nextHeartbeatAtMillis) {
        broadcastRound();
      }
    } else if (election.hasTimedOut(nowMillis)) {
      startPreVote();
    } else if (role == Role.PRE_CANDIDATE && election.pollResendDue(nowMillis)) {
      requestVotes(term() + 1, true);
    }
  }

  @Override
  public void flush() {
    do {
      if (hasUnsyncedWrites) {
        storage.sync();
        hasUnsyncedWrites = false;
      }
      durableIndex = storage.lastIndex();
      if (role == Role.LEADER) {
        replicateNewEntries();
        advanceCommit();
      }
      applier.applyUpTo(commitIndex, pendingCalls::completeProposal);
      if (role == Role.LEADER) {
        pendingCalls.completeReads(leaderState.quorumRound(), applier.appliedIndex());
        stepDownIfRemoved();
      }
    } while (hasUnsyncedWrites);
    List<Outgoing> messages = List.copyOf(outbox);
    outbox.clear();
    messages.forEach(outgoing -> transport.send(outgoing.to(), outgoing.message()));
  }

  @Override
  public CompletableFuture<byte[]> propose(byte[] command) {
    if (role != Role.LEADER) {
      return CompletableFuture.failedFuture(ReplicationErrors.notLeader(leader));
    }
    return appendAsLeader(LogEntry.Kind.COMMAND, command);
  }

  @Override
  public CompletableFuture<byte[]> proposeMembers(ReplicaSet newMembers) {
    boolean currentSetCommitted =
        memberHistory.currentIndex() <= commitIndex && hasCommittedInTerm();
    if (role != Role.LEADER || !currentSetCommitted) {
      return CompletableFuture.failedFuture(ReplicationErrors.notLeader(leader));
    }
    CompletableFuture<byte[]> future =
        appendAsLeader(LogEntry.Kind.MEMBERS, ReplicaSetCodec.encode(newMembers));
    leaderState.retainMembers(newMembers);
    return future;
  }

  @Override
  public CompletableFuture<Long> confirmRead() {
    if (role != Role.LEADER) {
      return CompletableFuture.failedFuture(ReplicationErrors.notLeader(leader));
    }
    long index = hasCommittedInTerm() ? commitIndex : storage.lastIndex();
    CompletableFuture<Long> future = pendingCalls.addRead(leaderState.round() + 1, index);
    broadcastRound();
    return future;
  }

  @Override
  public ReplicaStatus status() {
    ReplicaSet members = memberHistory.current();
    Role reportedRole = members.voters().contains(self) ? role : Role.LEARNER;
    Map<ReplicaId, Long> matchIndexes = role == Role.LEADER ? leaderState.matchIndexes() : Map.of();
    return new ReplicaStatus(
        self,
        reportedRole,
        term(),
        leader,
        storage.lastIndex(),
        commitIndex,
        applier.appliedIndex(),
        members,
        memberHistory.currentIndex() <= commitIndex,
        matchIndexes,
        role == Role.LEADER ? leaderState.responsivePeers() : Set.of(),
        leaseValid());
  }

  @Override
  public Optional<ReplicaId> leader() {
    return leader;
  }

  private long term() {
    return storage.hardState().term();
  }

  private boolean leaseValid() {
    if (role != Role.LEADER) {
      return false;
    }
    long leaseAgeMillis = clockMillis.getAsLong() - leaderState.quorumRoundSentAtMillis();
    boolean confirmed = leaderState.quorumRound() > 0 && hasCommittedInTerm();
    return confirmed && leaseAgeMillis < settings.electionTimeoutMillis() * 9L / 10;
  }

  private boolean hasCommittedInTerm() {
    return storage.termAt(commitIndex) == term();
  }

  private void saveTermAndVote(long term, Optional<ReplicaId> votedFor) {
    storage.saveHardState(new HardState(term, votedFor));
    hasUnsyncedWrites = true;
  }

  private void append(List<LogEntry> entries) {
    storage.append(entries);
    memberHistory.recordAppended(entries);
    hasUnsyncedWrites = true;
  }

  private CompletableFuture<byte[]> appendAsLeader(LogEntry.Kind kind, byte[] payload) {
    LogEntry entry = new LogEntry(storage.lastIndex() + 1, term(), kind, payload);
    append(List.of(entry));
    return pendingCalls.addProposal(entry);
  }

  private void send(ReplicaId to, RaftMessage message) {
    outbox.add(new Outgoing(to, message));
  }

  private void becomeFollower(long term) {
    if (term > term()) {
      saveTermAndVote(term, Optional.empty());
      leader = Optional.empty();
    }
    if (role == Role.LEADER) {
      leader = Optional.empty();
      leaderState = null;
      pendingCalls.failAll();
      election.restartTimer(clockMillis.getAsLong());
    }
    role = Role.FOLLOWER;
  }

  private void startPreVote() {
    long nowMillis = clockMillis.getAsLong();
    election.startCandidacy(self, nowMillis);
    if (!memberHistory.current().voters().contains(self)) {
      return;
    }
    role = Role.PRE_CANDIDATE;
    leader = Optional.empty();
    requestVotes(term() + 1, true);
    countVotes();
  }

  private void startElection() {
    role = Role.CANDIDATE;
    election.startBindingCandidacy(self, clockMillis.getAsLong());
    saveTermAndVote(term() + 1, Optional.of(self));
    requestVotes(term(), false);
    countVotes();
  }

  private void requestVotes(long term, boolean preVote) {
    long lastIndex = storage.lastIndex();
    VoteRequest request = new VoteRequest(term, preVote, lastIndex, storage.termAt(lastIndex));
    for (ReplicaId voter : memberHistory.current().voters()) {
      if (!election.hasVoteFrom(voter)) {
        send(voter, request);
      }
    }
  }

  private void countVotes() {
    if (!election.hasWon(memberHistory.current())) {
      return;
    }
    if (role == Role.PRE_CANDIDATE) {
      startElection();
    } else if (role == Role.CANDIDATE) {
      becomeLeader();
    }
  }

  private void becomeLeader() {
    role = Role.LEADER;
    leader = Optional.of(self);
    leaderState = new LeaderState(self, clockMillis.getAsLong());
    appendAsLeader(LogEntry.Kind.BARRIER, new byte[0]);
    broadcastRound();
  }

  private void stepDownIfRemoved() {
    boolean committed = memberHistory.currentIndex() <= commitIndex;
    if (committed && !memberHistory.current().voters().contains(self)) {
      becomeFollower(term());
    }
  }

  private void onVoteRequest(ReplicaId from, VoteRequest request) {
    long nowMillis = clockMillis.getAsLong();
    boolean leaderMayExist = role == Role.LEADER || election.leaderMayHoldLease(nowMillis);
    if (request.term() > term() && leaderMayExist) {
      return;
    }
    if (request.preVote()) {
      boolean granted = mayGrantPreVote(from, request, nowMillis);
      long responseTerm = granted ? request.term() : term();
      send(from, new VoteResponse(responseTerm, true, granted));
      return;
    }
    if (request.term() > term()) {
      becomeFollower(request.term());
    }
    boolean voteAvailable = storage.hardState().votedFor().map(from::equals).orElse(true);
    boolean granted =
        request.term() == term() && role == Role.FOLLOWER && voteAvailable && isUpToDate(request);
    if (granted) {
      saveTermAndVote(term(), Optional.of(from));
      election.restartTimer(nowMillis);
    }
    send(from, new VoteResponse(term(), false, granted));
  }

  /** Of two concurrent pre-candidates the smaller id has precedence, to avoid split votes. */
  private boolean mayGrantPreVote(ReplicaId from, VoteRequest request, long nowMillis) {
    if (request.term() <= term() || !isUpToDate(request)) {
      return false;
    }
    if (role == Role.PRE_CANDIDATE) {
      if (self.compareTo(from) < 0) {
        return request.lastIndex() > storage.lastIndex()
            || !election.mayAwaitFirstResponses(nowMillis);
      }
      role = Role.FOLLOWER;
      election.restartTimer(nowMillis);
    }
    return true;
  }

  private boolean isUpToDate(VoteRequest request) {
    long lastIndex = storage.lastIndex();
    return request.isUpToDate(lastIndex, storage.termAt(lastIndex));
  }

  private void onVoteResponse(ReplicaId from, VoteResponse response) {
    boolean grantedPreVote = response.preVote() && response.granted();
    if (response.term() > term() && !grantedPreVote) {
      becomeFollower(response.term());
      return;
    }
    boolean voteCounts =
        grantedPreVote
            ? role == Role.PRE_CANDIDATE && response.term() == term() + 1
            : role == Role.CANDIDATE && response.granted() && response.term() == term();
    if (voteCounts) {
      election.recordVote(from);
      countVotes();
    }
  }

  private boolean acceptLeader(ReplicaId from, long term, long round) {
    if (term < term()) {
      send(from, new AppendResponse(term(), false, 0, round));
      return false;
    }
    role = Role.FOLLOWER;
    leader = Optional.of(from);
    election.recordLeaderContact(clockMillis.getAsLong());
    return true;
  }

  private void onAppendRequest(ReplicaId from, AppendRequest request) {
    if (!acceptLeader(from, request.term(), request.round())) {
      return;
    }
    long previousIndex = request.previousIndex();
    if (!followerLog.matches(previousIndex, request.previousTerm())) {
      long hintIndex = followerLog.conflictHint(previousIndex, commitIndex);
      send(from, new AppendResponse(term(), false, hintIndex, request.round()));
      return;
    }
    List<LogEntry> missing = followerLog.missingEntries(request.entries());
    if (!missing.isEmpty()) {
      append(missing);
    }
    long matchIndex = previousIndex + request.entries().size();
    if (matchIndex >= storage.snapshot().lastIndex()) {
      commitIndex = Math.max(commitIndex, Math.min(request.commitIndex(), matchIndex));
    }
    send(from, new AppendResponse(term(), true, matchIndex, request.round()));
  }

  private void onSnapshotRequest(ReplicaId from, SnapshotRequest request) {
    if (!acceptLeader(from, request.term(), request.round())) {
      return;
    }
    Snapshot snapshot = request.snapshot();
    if (snapshot.lastIndex() > commitIndex) {
      storage.saveSnapshot(snapshot);
      memberHistory.resetTo(snapshot);
      applier.restore(snapshot);
      commitIndex = snapshot.lastIndex();
      hasUnsyncedWrites = true;
    }
    send(from, new AppendResponse(term(), true, snapshot.lastIndex(), request.round()));
  }

  private void onAppendResponse(ReplicaId from, AppendResponse response) {
    if (role != Role.LEADER || response.term() != term()) {
      return;
    }
    ReplicaSet members = memberHistory.current();
    if (!members.contains(from)) {
      return;
    }
    PeerProgress progress = leaderState.progress(from, storage.lastIndex());
    leaderState.recordAcknowledgement(from, response.round(), members);
    if (response.success()) {
      progress.recordMatch(response.matchIndex());
    } else {
      progress.recordRejection(response.matchIndex());
      sendAppend(from, progress);
    }
  }

  private void broadcastRound() {
    long nowMillis = clockMillis.getAsLong();
    leaderState.startRound(nowMillis);
    nextHeartbeatAtMillis = nowMillis + settings.heartbeatMillis();
    ReplicaSet members = memberHistory.current();
    leaderState.updateQuorumRound(members);
    forEachPeer(members, peer -> sendAppend(peer, leaderState.progress(peer, storage.lastIndex())));
  }

  private void replicateNewEntries() {
    forEachPeer(
        memberHistory.current(),
        peer -> {
          PeerProgress progress = leaderState.progress(peer, storage.lastIndex());
          if (progress.nextIndex() <= storage.lastIndex()) {
            sendAppend(peer, progress);
          }
        });
  }

  private void forEachPeer(ReplicaSet members, Consumer<ReplicaId> action) {
    members.voters().stream().filter(id -> !id.equals(self)).forEach(action);
    members.learners().stream().filter(id -> !id.equals(self)).forEach(action);
  }

  private void sendAppend(ReplicaId peer, PeerProgress progress) {
    long previousIndex = progress.nextIndex() - 1;
    if (previousIndex < storage.snapshot().lastIndex()) {
      send(peer, new SnapshotRequest(term(), storage.snapshot(), leaderState.round()));
      progress.recordSent(storage.snapshot().lastIndex());
      return;
    }
    List<LogEntry> entries = storage.entries(progress.nextIndex(), settings.batchEntries());
    long previousTerm = storage.termAt(previousIndex);
    send(
        peer,
        new AppendRequest(
            term(), previousIndex, previousTerm, entries, commitIndex, leaderState.round()));
    progress.recordSent(previousIndex + entries.size());
  }

  private void advanceCommit() {
    long index = leaderState.quorumIndex(memberHistory.current(), durableIndex, commitIndex);
    if (index > commitIndex && storage.termAt(index) == term()) {
      commitIndex = index;
      forEachPeer(
          memberHistory.current(),
          peer -> sendAppend(peer, leaderState.progress(peer, storage.lastIndex())));
    }
  }
}
