/** The daemon: router on every entry VM, and control replica where the settings say so. */
package org.toucansaddle.daemon;
