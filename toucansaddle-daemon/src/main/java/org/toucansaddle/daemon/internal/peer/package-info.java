/** gRPC server and links to other daemons. */
package org.toucansaddle.daemon.internal.peer;
