/** Stand-in plain service whose calls may not be repeated. */
package org.toucansaddle.standins.service;
