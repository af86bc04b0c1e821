/** SWIM implementation of the membership protocol. */
package org.toucansaddle.coordination.internal.membership;
