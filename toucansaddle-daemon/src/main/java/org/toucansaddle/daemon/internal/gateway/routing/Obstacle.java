package org.toucansaddle.daemon.internal.gateway.routing;

/** Why a request is not sent to an upstream. */
public enum Obstacle {
  LEAVING("it reports or said in a response that it takes no more requests"),
  REPLACED("another upstream reports from its address, or this is an older start"),
  UNREACHED("it is paused after a failed connection or a wrong address"),
  SILENT("it has not reported for the time limit of reports"),
  ZONE_OUT_OF_SERVICE("its availability zone is out of service"),
  REGION_NOT_ALLOWED("route and account do not allow the region of its availability zone"),
  BROKE_RESPONSE("it broke a response lately and others did not"),
  STUCK("requests got stuck there lately"),
  PAUSED("it asked for a pause, or requests come back in steps after one"),
  LIMITED("the limit that it names leaves this router no request now"),
  COLD("it is cold and this router holds no permit"),
  PACED("it has started or recovered and its pace leaves no request now"),
  FULL("it has as many requests as it may have"),
  NO_MEMORY("its memory does not hold the prompt and the response"),
  OTHERS_PREFERRED("others are preferred: for the prefix, or since they answer sooner"),
  OTHERS_DUE("callers that were asked to return are due first");

  private final String detail;

  Obstacle(String detail) {
    this.detail = detail;
  }

  /** Returns the reason in words, without a full stop. */
  public String detail() {
    return detail;
  }
}
