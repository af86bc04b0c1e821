/** HTTP interface for operators and the platform. */
package org.toucansaddle.daemon.internal.admin;
