package org.toucansaddle.coordination.replication;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** State machine that keeps every command it applied, in order. Not thread-safe. */
final class RecordingMachine implements StateMachine {

  private final List<String> applied = new ArrayList<>();

  List<String> applied() {
    return List.copyOf(applied);
  }

  @Override
  public byte[] apply(long index, byte[] command) {
    applied.add(new String(command, StandardCharsets.UTF_8));
    return command;
  }

  @Override
  public byte[] snapshot() {
    return String.join("\n", applied).getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void restore(byte[] state) {
    applied.clear();
    if (state.length > 0) {
      applied.addAll(List.of(new String(state, StandardCharsets.UTF_8).split("\n")));
    }
  }
}
