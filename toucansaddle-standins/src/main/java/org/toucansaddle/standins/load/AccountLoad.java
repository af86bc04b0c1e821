package org.toucansaddle.standins.load;

import java.util.List;

/**
 * Requests that one account keeps under way. Immutable.
 *
 * @param account name of the account
 * @param routers numbers of the routers it sends to, from 0
 * @param outstanding requests kept under way over all of them
 */
public record AccountLoad(String account, List<Integer> routerIndexes, int concurrency) {}
