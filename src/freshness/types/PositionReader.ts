import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { PositionRequest } from "./PositionRequest.js";

/** Reads positions that include every entry acknowledged before the request. */
export interface PositionReader {
    readPosition(request: PositionRequest): Promise<EndpointReply>;
}
