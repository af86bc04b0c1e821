package org.toucansaddle.coordination.internal.replication;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.toucansaddle.coordination.replication.HardState;
import org.toucansaddle.coordination.replication.LogEntry;
import org.toucansaddle.coordination.replication.LogStorage;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.Snapshot;

/**
 * Log storage in one folder: the file {@code log} holds hard states and entries as checksummed
 * frames, the file {@code snapshot} holds the newest snapshot.
 *
 * <p>Entries after the snapshot are also cached in memory. A snapshot is written to a temporary
 * file, synced and renamed; then the log is rewritten in the same way with the remaining entries.
 * Not thread-safe.
 */
public final class FileLogStorage implements LogStorage {

  /** Type byte of a frame that holds the term and the vote. */
  private static final byte HARD_STATE = 1;

  /** Type byte of a frame that holds a log entry. */
  private static final byte ENTRY = 2;

  private final Path folder;
  private final List<LogEntry> entries = new ArrayList<>();
  private HardState hardState = HardState.initial();
  private Snapshot snapshot = Snapshot.empty();
  private FrameFile log;

  private FileLogStorage(Path folder) {
    this.folder = folder;
  }

  /** Opens the storage in a folder, creating the folder if it is missing. */
  public static FileLogStorage open(Path folder) {
    FileLogStorage storage = new FileLogStorage(folder);
    try {
      Files.createDirectories(folder);
      storage.readSnapshot();
      storage.log = FrameFile.open(folder.resolve("log"));
      storage.log.readAll(storage::readFrame);
      syncFolder(folder);
    } catch (IOException e) {
      throw StorageErrors.ioFailure(folder, e);
    }
    return storage;
  }

  @Override
  public HardState hardState() {
    return hardState;
  }

  @Override
  public void saveHardState(HardState state) {
    hardState = state;
    appendFrame(log, encodeHardState(state));
  }

  @Override
  public Snapshot snapshot() {
    return snapshot;
  }

  @Override
  public long lastIndex() {
    return snapshot.lastIndex() + entries.size();
  }

  @Override
  public long termAt(long index) {
    if (index == snapshot.lastIndex()) {
      return snapshot.lastTerm();
    }
    if (index < snapshot.lastIndex() || index > lastIndex()) {
      return -1;
    }
    return entries.get(offsetOf(index)).term();
  }

  @Override
  public List<LogEntry> entries(long fromIndex, int max) {
    int from = Math.max(0, offsetOf(fromIndex));
    int to = Math.min(entries.size(), from + max);
    return from >= to ? List.of() : List.copyOf(entries.subList(from, to));
  }

  @Override
  public void append(List<LogEntry> newEntries) {
    for (LogEntry entry : newEntries) {
      replaceSuffixWith(entry);
      appendFrame(log, encodeEntry(entry));
    }
  }

  private int offsetOf(long index) {
    return (int) (index - snapshot.lastIndex() - 1);
  }

  /** Adds an entry, discarding those from its index on; ignores one that the snapshot covers. */
  private void replaceSuffixWith(LogEntry entry) {
    int offset = offsetOf(entry.index());
    if (offset < 0) {
      return;
    }
    if (offset > entries.size()) {
      throw StorageErrors.corruptFrame(folder.resolve("log"), 0);
    }
    entries.subList(offset, entries.size()).clear();
    entries.add(entry);
  }

  @Override
  public void saveSnapshot(Snapshot newSnapshot) {
    try {
      replaceFile("snapshot", file -> file.append(encodeSnapshot(newSnapshot)));
      discardEntriesCoveredBy(newSnapshot);
      snapshot = newSnapshot;
      log.close();
      replaceFile("log", this::writeRemainingLog);
      log = FrameFile.open(folder.resolve("log"));
      log.readAll(body -> {});
    } catch (IOException e) {
      throw StorageErrors.ioFailure(folder, e);
    }
  }

  /** Discards all entries if the log does not contain the last entry of the snapshot. */
  private void discardEntriesCoveredBy(Snapshot newSnapshot) {
    boolean logMatches = termAt(newSnapshot.lastIndex()) == newSnapshot.lastTerm();
    if (logMatches) {
      int coveredEntries = Math.max(0, offsetOf(newSnapshot.lastIndex()) + 1);
      entries.subList(0, coveredEntries).clear();
    } else {
      entries.clear();
    }
  }

  private void writeRemainingLog(FrameFile file) throws IOException {
    file.append(encodeHardState(hardState));
    for (LogEntry entry : entries) {
      file.append(encodeEntry(entry));
    }
  }

  @Override
  public void sync() {
    try {
      log.sync();
    } catch (IOException e) {
      throw StorageErrors.ioFailure(folder, e);
    }
  }

  @Override
  public void close() {
    try {
      log.close();
    } catch (IOException e) {
      throw StorageErrors.ioFailure(folder, e);
    }
  }

  /** Writes the frames of a file. */
  @FunctionalInterface
  private interface FileWriter {
    void writeTo(FrameFile file) throws IOException;
  }

  /** Replaces a file atomically: a crash leaves either the old or the new content. */
  private void replaceFile(String name, FileWriter writer) throws IOException {
    Path temporary = folder.resolve(name + ".new");
    Files.deleteIfExists(temporary);
    try (FrameFile file = FrameFile.open(temporary)) {
      writer.writeTo(file);
      file.sync();
    }
    Files.move(temporary, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
    syncFolder(folder);
  }

  private static void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  private void appendFrame(FrameFile file, byte[] body) {
    try {
      file.append(body);
    } catch (IOException e) {
      throw StorageErrors.ioFailure(folder, e);
    }
  }

  private void readSnapshot() throws IOException {
    Path path = folder.resolve("snapshot");
    if (!Files.exists(path)) {
      return;
    }
    try (FrameFile file = FrameFile.open(path)) {
      file.readAll(body -> snapshot = decodeSnapshot(body));
    }
  }

  private void readFrame(ByteBuffer body) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(body.array()))) {
      byte kind = in.readByte();
      if (kind == HARD_STATE) {
        hardState = decodeHardState(in);
      } else if (kind == ENTRY) {
        replaceSuffixWith(decodeEntry(in));
      } else {
        throw StorageErrors.corruptFrame(folder.resolve("log"), 0);
      }
    } catch (IOException e) {
      throw StorageErrors.corruptFrame(folder.resolve("log"), 0);
    }
  }

  /** Writes the fields of one record. */
  @FunctionalInterface
  private interface FieldWriter {
    void writeTo(DataOutputStream out) throws IOException;
  }

  private static byte[] encode(FieldWriter writer) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      writer.writeTo(out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static byte[] encodeHardState(HardState state) {
    return encode(
        out -> {
          out.writeByte(HARD_STATE);
          out.writeLong(state.term());
          out.writeBoolean(state.votedFor().isPresent());
          if (state.votedFor().isPresent()) {
            out.writeUTF(state.votedFor().get().name());
            out.writeLong(state.votedFor().get().folderId());
          }
        });
  }

  private static HardState decodeHardState(DataInputStream in) throws IOException {
    long term = in.readLong();
    Optional<ReplicaId> votedFor = Optional.empty();
    if (in.readBoolean()) {
      votedFor = Optional.of(new ReplicaId(in.readUTF(), in.readLong()));
    }
    return new HardState(term, votedFor);
  }

  private static byte[] encodeEntry(LogEntry entry) {
    return encode(
        out -> {
          out.writeByte(ENTRY);
          out.writeLong(entry.index());
          out.writeLong(entry.term());
          out.writeByte(entry.kind().ordinal());
          out.write(entry.payload());
        });
  }

  private static LogEntry decodeEntry(DataInputStream in) throws IOException {
    long index = in.readLong();
    long term = in.readLong();
    int kind = in.readByte();
    LogEntry.Kind[] kinds = LogEntry.Kind.values();
    if (kind < 0 || kind >= kinds.length) {
      throw new IOException("log entry of unknown kind " + kind);
    }
    return new LogEntry(index, term, kinds[kind], in.readAllBytes());
  }

  private static byte[] encodeSnapshot(Snapshot snapshot) {
    return encode(
        out -> {
          out.writeLong(snapshot.lastIndex());
          out.writeLong(snapshot.lastTerm());
          byte[] members = ReplicaSetCodec.encode(snapshot.members());
          out.writeInt(members.length);
          out.write(members);
          out.write(snapshot.state());
        });
  }

  private Snapshot decodeSnapshot(ByteBuffer body) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(body.array()))) {
      long index = in.readLong();
      long term = in.readLong();
      byte[] members = in.readNBytes(in.readInt());
      return new Snapshot(index, term, ReplicaSetCodec.decode(members), in.readAllBytes());
    } catch (IOException e) {
      throw StorageErrors.corruptFrame(folder.resolve("snapshot"), 0);
    }
  }
}
