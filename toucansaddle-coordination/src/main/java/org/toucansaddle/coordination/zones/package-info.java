/** Orders of operators that take availability zones out of service and back. */
package org.toucansaddle.coordination.zones;
