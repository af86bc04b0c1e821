/** Settings of one daemon. */
package org.toucansaddle.daemon.settings;
