package org.toucansaddle.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;
import org.toucansaddle.coordination.replication.LogStorage;
import org.toucansaddle.coordination.replication.ReplicaId;
import org.toucansaddle.coordination.replication.ReplicaSet;
import org.toucansaddle.coordination.replication.ReplicatedLog;
import org.toucansaddle.coordination.replication.ReplicationSettings;
import org.toucansaddle.coordination.replication.StateMachine;

/** Example of a program that embeds the replicated log: a durable text with a single replica. */
public class EmbeddingExampleTest {

  /** State machine that appends each command to a text. */
  private static final class TextStateMachine implements StateMachine {
    private String text = "";

    @Override
    public byte[] apply(long index, byte[] command) {
      text += new String(command, StandardCharsets.UTF_8);
      return snapshot();
    }

    @Override
    public byte[] snapshot() {
      return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void restore(byte[] state) {
      text = new String(state, StandardCharsets.UTF_8);
    }
  }

  private long nowMillis;

  private ReplicatedLog open(LogStorage storage, TextStateMachine stateMachine) {
    ReplicaId self = new ReplicaId("only", 1);
    ReplicatedLog log =
        Coordination.replicatedLog(
            ReplicationSettings.defaults(),
            self,
            storage,
            stateMachine,
            (to, message) -> {},
            () -> nowMillis,
            new SplittableRandom(1));
    log.bootstrap(ReplicaSet.ofVoters(List.of(self)));
    log.flush();
    return log;
  }

  /** Advances the clock by {@code seconds} while running the log's timers. */
  private void advance(ReplicatedLog log, int seconds) {
    for (long endMillis = nowMillis + seconds * 1_000L; nowMillis < endMillis; nowMillis += 50) {
      log.tick();
      log.flush();
    }
  }

  @Test
  public void shouldRestoreTextAfterRestart() throws IOException {
    Path folder = Files.createTempDirectory("embedding");
    TextStateMachine beforeRestart = new TextStateMachine();
    try (LogStorage storage = Coordination.fileLogStorage(folder)) {
      ReplicatedLog log = open(storage, beforeRestart);
      advance(log, 5);
      CompletableFuture<byte[]> result = log.propose("warm ".getBytes(StandardCharsets.UTF_8));
      log.propose("edge".getBytes(StandardCharsets.UTF_8));
      log.flush();
      assertThat(result.join()).isEqualTo("warm ".getBytes(StandardCharsets.UTF_8));
    }
    TextStateMachine afterRestart = new TextStateMachine();
    try (LogStorage storage = Coordination.fileLogStorage(folder)) {
      advance(open(storage, afterRestart), 5);
    }
    assertThat(afterRestart.text).isEqualTo("warm edge");
  }
}
