import type { EndpointCallKind } from "./EndpointCallKind.js";

/** A call to an endpoint: an id of the connection's own, the kind and the call's content. */
export type EndpointCallFrame = readonly [id: number, kind: EndpointCallKind, content: unknown];
