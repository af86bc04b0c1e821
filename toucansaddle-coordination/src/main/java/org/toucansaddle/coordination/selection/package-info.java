/** Decides at which upstream a prompt is read, and remembers what upstreams have read. */
package org.toucansaddle.coordination.selection;
