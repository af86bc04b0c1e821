/** What is known of the load and the speed of one upstream. */
package org.toucansaddle.coordination.upstream;
