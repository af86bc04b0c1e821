package org.toucansaddle.standins.load;

import java.util.List;

/**
 * Closed-loop load of one client account. Immutable.
 *
 * @param account name of the account
 * @param routerIndexes zero-based indexes of the routers that receive its requests, in turn
 * @param concurrency requests kept in flight, over all of these routers
 */
public record AccountLoad(String account, List<Integer> routerIndexes, int concurrency) {}
