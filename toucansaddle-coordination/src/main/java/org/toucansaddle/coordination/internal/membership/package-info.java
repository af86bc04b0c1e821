/** Implementation of the membership protocol. */
package org.toucansaddle.coordination.internal.membership;
