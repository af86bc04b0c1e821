/** Clients that generate load and verify the responses. */
package org.toucansaddle.standins.load;
