package org.toucansaddle.coordination.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Bytes of responses that a router holds for callers that have not taken them, bounded in sum.
 *
 * <pre>{@code
 * UnreadBudget.Holding holding = budget.open(account, () -> endResponse());
 * holding.set(unread, unfinished);
 * }</pre>
 *
 * <p>While the budget is exceeded, calls give way: of the account that holds most, the one whose
 * caller has left something for longest. So accounts that hold little keep their responses whatever
 * others do. What gave way counts no longer. Thread-safe; does no I/O.
 */
public final class UnreadBudget {

  /** Part of the budget above which accounts that hold much are read in small steps. */
  private static final double SMALL_READS_FRACTION = 0.5;

  /** Part of a usual read that is read of the upstreams of an account that holds much. */
  private static final int SMALL_READ_DIVISOR = 8;

  private final long maxBytes;
  private final Map<String, AccountHoldings> accounts = new HashMap<>();
  private volatile long held;

  /**
   * Creates an unused budget.
   *
   * @param maxBytes number of bytes that may be held
   */
  public UnreadBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Calls of one account that hold something, the one that has done so for longest first. */
  private static final class AccountHoldings {
    private final Set<Holding> holdings = new LinkedHashSet<>();
    private long bytes;
  }

  /** Bytes held for one call until it is closed or gives way. Thread-safe. */
  public final class Holding implements AutoCloseable {
    private final String account;
    private final Runnable onGiveWay;
    private long own;
    private boolean closed;

    private Holding(String account, Runnable onGiveWay) {
      this.account = account;
      this.onGiveWay = onGiveWay;
    }

    /**
     * Tells how much is held now; calls may give way, this one too.
     *
     * @param unread bytes that the caller has not taken, although they could be sent
     * @param unfinished bytes of an event that the upstream has not completed
     */
    public void set(long unread, long unfinished) {
      hold(this, unread + unfinished, unread == 0).forEach(holding -> holding.onGiveWay.run());
    }

    /**
     * Returns how many bytes to read at once from the call's upstream.
     *
     * @param usual number of bytes if there is no shortage
     */
    public int readBytes(int usual) {
      return isShort() && holdsMuch(account) ? usual / SMALL_READ_DIVISOR : usual;
    }

    @Override
    public void close() {
      release(this);
    }
  }

  /**
   * Returns a holding without bytes.
   *
   * @param onGiveWay ends the response; called at most once, by the thread of any call
   */
  public Holding open(String account, Runnable onGiveWay) {
    return new Holding(account, onGiveWay);
  }

  /** Returns the number of bytes held. */
  public long heldBytes() {
    return held;
  }

  private boolean isShort() {
    return held > SMALL_READS_FRACTION * maxBytes;
  }

  private synchronized boolean holdsMuch(String account) {
    AccountHoldings own = accounts.get(account);
    return own != null && own.bytes * accounts.size() >= held;
  }

  /** Changes what a call holds and returns the calls that give way. */
  private synchronized List<Holding> hold(Holding holding, long bytes, boolean allTaken) {
    if (holding.closed) {
      return List.of();
    }
    if (allTaken) {
      // Its caller has just read: others of the account have waited for longer.
      change(holding, 0);
    }
    change(holding, bytes);
    List<Holding> givingWay = new ArrayList<>();
    while (held > maxBytes) {
      Holding next = nextToGiveWay();
      release(next);
      givingWay.add(next);
    }
    return givingWay;
  }

  private Holding nextToGiveWay() {
    return accounts.values().stream()
        .max(Comparator.comparingLong(account -> account.bytes))
        .orElseThrow()
        .holdings
        .iterator()
        .next();
  }

  private synchronized void release(Holding holding) {
    if (!holding.closed) {
      change(holding, 0);
      holding.closed = true;
    }
  }

  private void change(Holding holding, long bytes) {
    long added = bytes - holding.own;
    if (added == 0) {
      return;
    }
    AccountHoldings account =
        accounts.computeIfAbsent(holding.account, name -> new AccountHoldings());
    holding.own = bytes;
    account.bytes += added;
    held += added;
    if (bytes > 0) {
      account.holdings.add(holding);
      return;
    }
    account.holdings.remove(holding);
    if (account.holdings.isEmpty()) {
      accounts.remove(holding.account);
    }
  }
}
