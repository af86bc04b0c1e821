/** Stand-in model engine with continuous batching. */
package org.toucansaddle.standins.engine;
