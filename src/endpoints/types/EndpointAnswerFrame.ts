import type { EndpointAnswerKind } from "./EndpointAnswerKind.js";

/** A frame from an endpoint: the id of the answered call, the kind, the content and whether the endpoint is leaving. */
export type EndpointAnswerFrame = readonly [id: number, kind: EndpointAnswerKind, content: unknown, isLeaving: boolean];
