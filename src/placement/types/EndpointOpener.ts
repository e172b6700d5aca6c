import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { EndpointSession } from "../../statements/types/EndpointSession.js";

/** Opens a connection to an endpoint within a time limit. */
export type EndpointOpener = (endpoint: EndpointRecord, timeoutMilliseconds: number) => Promise<EndpointSession>;
