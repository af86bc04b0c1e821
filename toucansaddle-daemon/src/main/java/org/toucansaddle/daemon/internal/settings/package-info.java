/** Reads and checks the settings file. */
package org.toucansaddle.daemon.internal.settings;
