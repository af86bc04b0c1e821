package org.toucansaddle.coordination.internal.placement;

import java.util.List;
import org.toucansaddle.coordination.placement.PlacementRequest;
import org.toucansaddle.coordination.placement.PlacementRequest.PromptPart;

/**
 * A request that waits for a slot. Immutable.
 *
 * @param prefixes shared prefixes of its prompt
 * @param askedAt time at which it asked, in nanoseconds
 * @param giveUpAt time at which it is refused, in nanoseconds
 * @param promised whether its caller came back when it was told to
 */
record WaitingRequest(
    PlacementRequest request,
    List<PromptPart> prefixes,
    long askedAt,
    long giveUpAt,
    boolean promised) {}
