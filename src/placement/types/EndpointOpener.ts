import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { EndpointSession } from "../../statements/types/EndpointSession.js";

/** Opens a connection to an endpoint in the name of an owner, within a time limit. */
export type EndpointOpener = (
    endpoint: EndpointRecord,
    owner: string,
    timeoutMilliseconds: number,
) => Promise<EndpointSession>;
