/** Counters and gauges for Prometheus. */
package org.toucansaddle.daemon.internal.metrics;
