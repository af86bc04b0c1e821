/** Journals of the requests that stand-ins ran, against which experiments check responses. */
package org.toucansaddle.standins.journal;
