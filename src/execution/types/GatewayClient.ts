import type { PositionRequest } from "../../freshness/types/PositionRequest.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { EndpointRequest } from "../../messages/types/EndpointRequest.js";
import type { TransactionBegin } from "../../messages/types/TransactionBegin.js";
import type { TransactionBeginReply } from "../../messages/types/TransactionBeginReply.js";
import type { TransactionEnd } from "../../messages/types/TransactionEnd.js";
import type { TransactionStatement } from "../../messages/types/TransactionStatement.js";
import type { Address } from "../../network/types/Address.js";
import type { RequestKeyLookUp } from "../../requests/types/RequestKeyLookUp.js";

/** An entry's calls to gateways. They fail only with typed errors of the transport. */
export interface GatewayClient {
    execute(gateway: PeerRecord, request: EndpointRequest): Promise<EndpointReply>;
    lookUpRequestKey(gateway: PeerRecord, lookUp: RequestKeyLookUp): Promise<EndpointReply>;
    /** Reads a position that includes everything acknowledged before the call. */
    readPosition(gateway: PeerRecord, request: PositionRequest): Promise<EndpointReply>;
    beginTransaction(gateway: PeerRecord, begin: TransactionBegin): Promise<TransactionBeginReply>;
    executeInTransaction(gateway: Address, statement: TransactionStatement): Promise<EndpointReply>;
    endTransaction(gateway: Address, end: TransactionEnd): Promise<EndpointReply>;
}
