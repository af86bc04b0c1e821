/** Stand-in for a plain service whose calls are not idempotent. */
package org.toucansaddle.standins.service;
