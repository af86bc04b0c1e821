package org.toucansaddle.coordination.internal.replication;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.replication.HardState;
import org.toucansaddle.coordination.replication.LogEntry;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicaSet;
import org.toucansaddle.coordination.replication.Snapshot;
import org.toucansaddle.coordination.replication.StorageException;

/** File storage in a temporary folder, including torn and corrupt files. */
public class FileLogStorageTest {

  private Path folder;

  @BeforeMethod
  public void createFolder() throws IOException {
    folder = Files.createTempDirectory("log-storage");
  }

  private static LogEntry entry(long index, long term) {
    return new LogEntry(index, term, LogEntry.Kind.COMMAND, new byte[] {(byte) index, 7, 7});
  }

  private void writeThreeEntries() {
    try (FileLogStorage storage = FileLogStorage.open(folder)) {
      storage.saveHardState(new HardState(2, Optional.of(new ReplicaId("a", 5))));
      storage.append(List.of(entry(1, 1), entry(2, 1), entry(3, 2)));
      storage.sync();
    }
  }

  @Test
  public void shouldRestoreStateAfterReopening() {
    writeThreeEntries();
    try (FileLogStorage storage = FileLogStorage.open(folder)) {
      assertThat(storage.hardState().votedFor()).contains(new ReplicaId("a", 5));
      assertThat(storage.lastIndex()).isEqualTo(3);
      assertThat(storage.termAt(3)).isEqualTo(2);
      assertThat(storage.entries(2, 1).get(0).payload()).containsExactly(2, 7, 7);
    }
  }

  @Test
  public void shouldReplaceConflictingSuffix() {
    writeThreeEntries();
    try (FileLogStorage storage = FileLogStorage.open(folder)) {
      storage.append(List.of(entry(2, 3)));
      storage.sync();
    }
    try (FileLogStorage storage = FileLogStorage.open(folder)) {
      assertThat(storage.lastIndex()).isEqualTo(2);
      assertThat(storage.termAt(2)).isEqualTo(3);
    }
  }

  @Test
  public void shouldKeepEntriesAfterSnapshot() {
    writeThreeEntries();
    ReplicaSet members = ReplicaSet.ofVoters(List.of(new ReplicaId("a", 5)));
    try (FileLogStorage storage = FileLogStorage.open(folder)) {
      storage.saveSnapshot(new Snapshot(2, 1, members, new byte[] {9}));
      storage.append(List.of(entry(4, 2)));
      storage.sync();
    }
    try (FileLogStorage storage = FileLogStorage.open(folder)) {
      assertThat(storage.snapshot().members()).isEqualTo(members);
      assertThat(storage.entries(3, 10)).extracting(LogEntry::index).containsExactly(3L, 4L);
      assertThat(storage.hardState().term()).isEqualTo(2);
    }
  }

  @DataProvider
  static Object[][] tornTails() {
    return new Object[][] {{1}, {5}, {9}, {14}};
  }

  @Test(dataProvider = "tornTails")
  public void shouldRemoveTornTail(int lostBytes) throws IOException {
    writeThreeEntries();
    Path log = folder.resolve("log");
    try (FileChannel channel = FileChannel.open(log, StandardOpenOption.WRITE)) {
      channel.truncate(channel.size() - lostBytes);
    }
    try (FileLogStorage storage = FileLogStorage.open(folder)) {
      assertThat(storage.lastIndex()).isEqualTo(2);
      storage.append(List.of(entry(3, 3)));
      storage.sync();
    }
    try (FileLogStorage storage = FileLogStorage.open(folder)) {
      assertThat(storage.termAt(3)).isEqualTo(3);
    }
  }

  @Test
  public void shouldRemoveZeroFilledTail() throws IOException {
    writeThreeEntries();
    Files.write(folder.resolve("log"), new byte[64], StandardOpenOption.APPEND);
    try (FileLogStorage storage = FileLogStorage.open(folder)) {
      assertThat(storage.lastIndex()).isEqualTo(3);
    }
  }

  @DataProvider
  static Object[][] corruptions() {
    return new Object[][] {{20, "middle"}, {-1, "end"}};
  }

  @Test(dataProvider = "corruptions")
  public void shouldRejectCorruptFrame(int position, String location) throws IOException {
    writeThreeEntries();
    try (FileChannel channel =
        FileChannel.open(
            folder.resolve("log"), StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      long corruptPosition = position >= 0 ? position : channel.size() - 1;
      ByteBuffer corruptByte = ByteBuffer.allocate(1);
      channel.read(corruptByte, corruptPosition);
      corruptByte.put(0, (byte) (corruptByte.get(0) ^ 0x55)).rewind();
      channel.write(corruptByte, corruptPosition);
    }
    assertThatThrownBy(() -> FileLogStorage.open(folder))
        .as(location)
        .isInstanceOf(StorageException.class)
        .hasMessageContaining("aside");
  }
}
