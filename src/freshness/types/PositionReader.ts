import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { PositionRequest } from "./PositionRequest.js";

/** Reads positions that include everything acknowledged before they were asked for. */
export interface PositionReader {
    readPosition(request: PositionRequest): Promise<EndpointReply>;
}
