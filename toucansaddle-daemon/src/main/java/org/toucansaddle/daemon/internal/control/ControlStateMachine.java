package org.toucansaddle.daemon.internal.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.toucansaddle.coordination.replication.StateMachine;
import org.toucansaddle.daemon.internal.config.ConfigurationItems;
import org.toucansaddle.protocol.generated.ClaimResult;
import org.toucansaddle.protocol.generated.ClientAccount;
import org.toucansaddle.protocol.generated.Command;
import org.toucansaddle.protocol.generated.CommandResult;
import org.toucansaddle.protocol.generated.CommandStatus;
import org.toucansaddle.protocol.generated.ConfigurationItem;
import org.toucansaddle.protocol.generated.ControlSnapshot;
import org.toucansaddle.protocol.generated.WorkClass;

/**
 * Replicated state of the control replicas: configuration, command results, claims and placement
 * orders.
 *
 * <p>Deterministic: the state depends only on the commands. The clock is the highest proposal time
 * of all applied commands, so it never moves backwards. Not thread-safe.
 */
public final class ControlStateMachine implements StateMachine {

  private final Consumer<ConfigurationItems> configurationListener;
  private final CommandResults results = new CommandResults();
  private final ClaimTable claims = new ClaimTable();
  private final OrderTable orders = new OrderTable();
  private ConfigurationItems configuration = ConfigurationItems.empty();
  private int nextAccountNumber = 1;
  private long clockMillis;

  /**
   * Creates the initial state.
   *
   * @param configurationListener called with each new configuration on the thread that applies it
   */
  public ControlStateMachine(Consumer<ConfigurationItems> configurationListener) {
    this.configurationListener = configurationListener;
  }

  /** Returns the current configuration. */
  public ConfigurationItems configuration() {
    return configuration;
  }

  @Override
  public byte[] apply(long index, byte[] bytes) {
    Command command;
    try {
      command = Command.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      return result(CommandStatus.INVALID, "The command cannot be decoded; send it again.")
          .toByteArray();
    }
    clockMillis = Math.max(clockMillis, command.getProposedAtMillis());
    return apply(index, command).toByteArray();
  }

  private CommandResult apply(long index, Command command) {
    if (command.hasPlacementOrder()) {
      return orders
          .issue(command.getPlacementOrder(), index, clockMillis)
          .map(reason -> result(CommandStatus.CONFLICT, reason))
          .orElseGet(() -> result(CommandStatus.ACCEPTED, "").toBuilder().setIndex(index).build());
    }
    if (command.hasClaim()) {
      return claimResult(claims.claim(command, clockMillis));
    }
    if (command.hasClaimOutcome()) {
      return claimResult(claims.complete(command.getClaimOutcome(), clockMillis));
    }
    Optional<CommandResult> previous = results.find(command.getCommandId());
    if (previous.isPresent()) {
      return previous.get();
    }
    CommandResult result = applyConfigurationCommand(command);
    results.put(command.getCommandId(), result);
    return result;
  }

  private CommandResult claimResult(ClaimResult claim) {
    return CommandResult.newBuilder()
        .setStatus(CommandStatus.ACCEPTED)
        .setRevision(configuration.revision())
        .setClaim(claim)
        .build();
  }

  private CommandResult applyConfigurationCommand(Command command) {
    return switch (command.getKindCase()) {
      case PUT_CLASS -> putClass(command, command.getPutClass());
      case PUT_ACCOUNT -> putAccount(command, command.getPutAccount());
      case DELETE_CLASS ->
          deleteItem(command, ConfigurationItems.classKey(command.getDeleteClass()));
      case DELETE_ACCOUNT ->
          deleteItem(command, ConfigurationItems.accountKey(command.getDeleteAccount()));
      default -> result(CommandStatus.INVALID, "The command is of an unknown kind.");
    };
  }

  private CommandResult putClass(Command command, WorkClass workClass) {
    ConfigurationItem.Builder item = ConfigurationItem.newBuilder().setWorkClass(workClass);
    return putItem(command, ConfigurationItems.classKey(workClass.getName()), item);
  }

  private CommandResult putAccount(Command command, ClientAccount account) {
    String key = ConfigurationItems.accountKey(account.getName());
    ConfigurationItem existing = configuration.items().get(key);
    boolean exists = existing != null && !existing.getDeleted();
    int number = exists ? existing.getAccount().getNumber() : nextAccountNumber;
    ClientAccount numbered = account.toBuilder().setNumber(number).build();
    CommandResult result =
        putItem(command, key, ConfigurationItem.newBuilder().setAccount(numbered));
    if (result.getStatus() == CommandStatus.ACCEPTED && !exists) {
      nextAccountNumber++;
    }
    return result;
  }

  private CommandResult putItem(Command command, String key, ConfigurationItem.Builder item) {
    long current = configuration.revisionOf(key);
    if (command.getDecidedOnRevision() != current) {
      return conflict(key, command.getDecidedOnRevision(), current);
    }
    return commitItem(item);
  }

  private CommandResult deleteItem(Command command, String key) {
    long current = configuration.revisionOf(key);
    if (current == 0) {
      return result(
          CommandStatus.NOT_FOUND, "There is no '" + key + "'. List the existing items and retry.");
    }
    if (command.getDecidedOnRevision() != current) {
      return conflict(key, command.getDecidedOnRevision(), current);
    }
    return commitItem(ConfigurationItem.newBuilder().setDeleted(true).setDeletedKey(key));
  }

  private CommandResult commitItem(ConfigurationItem.Builder item) {
    long revision = configuration.revision() + 1;
    configuration = configuration.with(item.setRevision(revision).build());
    configurationListener.accept(configuration);
    return result(CommandStatus.ACCEPTED, "");
  }

  private CommandResult conflict(String key, long decidedOnRevision, long current) {
    return CommandResult.newBuilder()
        .setStatus(CommandStatus.CONFLICT)
        .setRevision(current)
        .setMessage(
            "'"
                + key
                + "' is at revision "
                + current
                + ", but the change was decided on revision "
                + decidedOnRevision
                + ". Check the current targets and resend the change with --revision "
                + current
                + ".")
        .build();
  }

  private CommandResult result(CommandStatus status, String message) {
    return CommandResult.newBuilder()
        .setStatus(status)
        .setRevision(configuration.revision())
        .setMessage(message)
        .build();
  }

  @Override
  public byte[] snapshot() {
    return ControlSnapshot.newBuilder()
        .setRevision(configuration.revision())
        .setOldestDeltaRevision(configuration.oldestDeltaRevision())
        .addAllItems(configuration.items().values())
        .setNextAccountNumber(nextAccountNumber)
        .addAllResults(results.snapshot())
        .addAllClaims(claims.snapshot())
        .addAllOrders(orders.snapshot())
        .addAllReleasedClaims(claims.releasedClaims().snapshot())
        .setClockMillis(clockMillis)
        .build()
        .toByteArray();
  }

  @Override
  public void restore(byte[] state) {
    ControlSnapshot snapshot;
    try {
      snapshot = ControlSnapshot.parseFrom(state);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("The control snapshot cannot be decoded.", e);
    }
    SortedMap<String, ConfigurationItem> items = new TreeMap<>();
    snapshot.getItemsList().forEach(item -> items.put(ConfigurationItems.key(item), item));
    configuration =
        new ConfigurationItems(snapshot.getRevision(), snapshot.getOldestDeltaRevision(), items);
    nextAccountNumber = Math.max(1, snapshot.getNextAccountNumber());
    results.restore(snapshot.getResultsList());
    claims.restore(snapshot.getClaimsList());
    orders.restore(snapshot.getOrdersList());
    claims.releasedClaims().restore(snapshot.getReleasedClaimsList());
    clockMillis = snapshot.getClockMillis();
    configurationListener.accept(configuration);
  }
}
