/** State behind {@link org.toucansaddle.coordination.placement.Placer}. */
package org.toucansaddle.coordination.internal.placement;
