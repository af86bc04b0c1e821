/** Stand-in for a model engine with continuous batching and injectable faults. */
package org.toucansaddle.standins.engine;
