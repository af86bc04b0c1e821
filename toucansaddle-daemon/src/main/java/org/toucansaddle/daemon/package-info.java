/** The daemon: a router on every entry VM and, if the settings say so, a control replica. */
package org.toucansaddle.daemon;
