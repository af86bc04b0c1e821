package org.toucansaddle.daemon.internal.gateway.relay;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tokens of the client accounts that asked for some at this router, by what became of the requests,
 * since the last time they were drained. Thread-safe; does no I/O.
 */
public final class AccountTally {

  /** What became of a request. */
  public enum Fate {
    /** It is under way or has ended; every request counts here once. */
    ASKED,
    /** An upstream has produced its first token. */
    BEGUN,
    /** It was refused since its account was above its share. */
    ABOVE_SHARE,
    /** It was refused since no upstream had a slot, memory or a connection for it. */
    NO_ROOM,
    /** It was refused since an upstream had room, but not in time. */
    TOO_LATE,
    /** Its caller left before the first token. */
    ABANDONED,
    /** It ended without a first token for another reason. */
    LOST;

    /** Returns the fate of a request that ended without a first token. */
    static Fate ofOutcome(String outcome) {
      return switch (outcome) {
        case "above-share" -> ABOVE_SHARE;
        case "upstreams-busy", "upstreams-limited", "upstream-full", "connections-used" -> NO_ROOM;
        case "target-cannot-be-met" -> TOO_LATE;
        case "caller-gone" -> ABANDONED;
        default -> LOST;
      };
    }
  }

  /**
   * Tokens of one account by fate. Immutable.
   *
   * @param tokens tokens by fate; fates without any are missing
   */
  public record Entry(String account, Map<Fate, Long> tokens) {

    /** Creates an entry with a copy of the tokens. */
    public Entry {
      tokens = Map.copyOf(tokens);
    }

    /** Returns the tokens of a fate. */
    public long get(Fate fate) {
      return tokens.getOrDefault(fate, 0L);
    }

    private long notBegun() {
      return Math.max(0, get(Fate.ASKED) - get(Fate.BEGUN));
    }
  }

  private Map<String, Map<Fate, Long>> tokensByAccount = new HashMap<>();

  /** Adds the tokens of a request. */
  synchronized void record(String account, Fate fate, long tokens) {
    tokensByAccount
        .computeIfAbsent(account, name -> new EnumMap<>(Fate.class))
        .merge(fate, tokens, Long::sum);
  }

  /** Removes all tokens and returns those of the accounts that most tokens were not begun for. */
  public synchronized List<Entry> drain(int maxEntries) {
    Map<String, Map<Fate, Long>> drained = tokensByAccount;
    tokensByAccount = new HashMap<>();
    return drained.entrySet().stream()
        .map(entry -> new Entry(entry.getKey(), entry.getValue()))
        .filter(entry -> entry.notBegun() > 0)
        .sorted(Comparator.comparingLong(Entry::notBegun).reversed())
        .limit(maxEntries)
        .toList();
  }
}
