/** Command-line tool of the operators. */
package org.toucansaddle.cli;
