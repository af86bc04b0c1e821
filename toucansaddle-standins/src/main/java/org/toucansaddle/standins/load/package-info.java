/** Callers that send requests and check the answers. */
package org.toucansaddle.standins.load;
