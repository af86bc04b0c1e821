/** Implementation of slot sharing. */
package org.toucansaddle.coordination.internal.sharing;
