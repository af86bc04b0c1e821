/** Commands of the command-line tool, and its client for the admin API. */
package org.toucansaddle.cli.internal;
