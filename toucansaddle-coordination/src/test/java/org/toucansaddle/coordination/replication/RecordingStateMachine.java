package org.toucansaddle.coordination.replication;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** State machine that records the applied commands in order. Not thread-safe. */
final class RecordingStateMachine implements StateMachine {

  private final List<String> appliedCommands = new ArrayList<>();

  List<String> appliedCommands() {
    return List.copyOf(appliedCommands);
  }

  @Override
  public byte[] apply(long index, byte[] command) {
    appliedCommands.add(new String(command, StandardCharsets.UTF_8));
    return command;
  }

  @Override
  public byte[] snapshot() {
    return String.join("\n", appliedCommands).getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void restore(byte[] state) {
    appliedCommands.clear();
    if (state.length > 0) {
      appliedCommands.addAll(List.of(new String(state, StandardCharsets.UTF_8).split("\n")));
    }
  }
}
