/** Bounds on repeated work: retry budgets, and strikes for requests that upstreams die of. */
package org.toucansaddle.coordination.retry;
