/** Protocol between daemons: gRPC method descriptors over the generated messages. */
package org.toucansaddle.protocol;
