import type { EndpointCallKind } from "./EndpointCallKind.js";

/** A call to an endpoint: an id that is unique on the connection, the kind and the content. */
export type EndpointCallFrame = readonly [id: number, kind: EndpointCallKind, content: unknown];
