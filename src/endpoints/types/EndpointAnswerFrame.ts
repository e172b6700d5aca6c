import type { EndpointAnswerKind } from "./EndpointAnswerKind.js";

/** A frame from an endpoint: the id of the call that it answers, the kind, the content and whether it is leaving. */
export type EndpointAnswerFrame = readonly [id: number, kind: EndpointAnswerKind, content: unknown, isLeaving: boolean];
