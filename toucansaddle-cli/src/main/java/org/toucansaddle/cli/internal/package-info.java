/** Commands of the tool and its client of the admin interface. */
package org.toucansaddle.cli.internal;
