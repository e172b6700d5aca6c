import type { Address } from "../../network/types/Address.js";

/** Which gateways the operator's program asks, and the secret with which it presents itself. */
export interface OperatorConnection {
    readonly gateways: readonly Address[];
    readonly peerSecret: string;
}
