package org.toucansaddle.daemon.internal.config;

import com.google.protobuf.ByteString;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.toucansaddle.protocol.generated.ClientAccount;
import org.toucansaddle.protocol.generated.ConfigurationItem;
import org.toucansaddle.protocol.generated.WorkClass;

/** Work classes and client accounts at one revision, indexed for lookups by requests. Immutable. */
public final class FleetConfiguration {

  private final ConfigurationItems items;
  private final Map<String, WorkClass> classes = new TreeMap<>();
  private final Map<String, ClientAccount> accounts = new TreeMap<>();
  private final Map<ByteString, ClientAccount> accountsByKeyDigest = new HashMap<>();
  private final Map<Integer, ClientAccount> accountsByNumber = new HashMap<>();

  /** Creates a configuration that indexes the given items. */
  public FleetConfiguration(ConfigurationItems items) {
    this.items = items;
    items.items().values().forEach(this::index);
  }

  private void index(ConfigurationItem item) {
    if (item.hasWorkClass()) {
      classes.put(item.getWorkClass().getName(), item.getWorkClass());
    } else if (item.hasAccount()) {
      ClientAccount account = item.getAccount();
      accounts.put(account.getName(), account);
      accountsByNumber.put(account.getNumber(), account);
      account.getKeyDigestsList().forEach(digest -> accountsByKeyDigest.put(digest, account));
    }
  }

  /** Returns the items. */
  public ConfigurationItems items() {
    return items;
  }

  /** Returns the revision. */
  public long revision() {
    return items.revision();
  }

  /** Returns a work class by name. */
  public Optional<WorkClass> findWorkClass(String name) {
    return Optional.ofNullable(classes.get(name));
  }

  /** Returns all work classes, ordered by name. */
  public Collection<WorkClass> classes() {
    return classes.values();
  }

  /** Returns the account that has an API key with the given SHA-256 digest. */
  public Optional<ClientAccount> findAccountByKeyDigest(ByteString digest) {
    return Optional.ofNullable(accountsByKeyDigest.get(digest));
  }

  /** Returns an account's name by its number, or a placeholder with the number if unknown. */
  public String accountName(int number) {
    ClientAccount account = accountsByNumber.get(number);
    return account == null ? "account-" + number : account.getName();
  }

  /** Returns all accounts, ordered by name. */
  public Collection<ClientAccount> accounts() {
    return accounts.values();
  }
}
