/** Which requests enter: shares of accounts, and what a router leaves to others. */
package org.toucansaddle.coordination.admission;
