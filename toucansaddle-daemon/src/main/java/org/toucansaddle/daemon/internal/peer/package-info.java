/** gRPC server for other daemons, connections to them, and their authentication. */
package org.toucansaddle.daemon.internal.peer;
