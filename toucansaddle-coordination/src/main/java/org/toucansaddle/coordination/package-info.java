/** Coordination library for routers: replicated log, membership, slot sharing, retry budgets. */
package org.toucansaddle.coordination;
