/** The fleet configuration in force at this daemon. */
package org.toucansaddle.daemon.internal.config;
