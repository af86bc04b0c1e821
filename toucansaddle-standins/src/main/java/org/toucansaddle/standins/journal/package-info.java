/** Journal of what a stand-in really ran. */
package org.toucansaddle.standins.journal;
