/** Command-line tool for operators. */
package org.toucansaddle.cli;
