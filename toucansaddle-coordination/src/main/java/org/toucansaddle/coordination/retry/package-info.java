/** Limits on repeated work: retry budgets, and strikes for requests that crash upstreams. */
package org.toucansaddle.coordination.retry;
