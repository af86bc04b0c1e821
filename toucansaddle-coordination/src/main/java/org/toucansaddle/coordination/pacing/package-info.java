/** How much work upstreams get that have just started, turned cold or recovered. */
package org.toucansaddle.coordination.pacing;
