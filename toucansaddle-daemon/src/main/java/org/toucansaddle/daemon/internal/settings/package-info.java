/** Validation of the settings file. */
package org.toucansaddle.daemon.internal.settings;
