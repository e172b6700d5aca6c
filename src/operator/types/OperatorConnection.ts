import type { Address } from "../../network/types/Address.js";

/** Addresses of the gateways that the operator's command calls, and the secret with which it authenticates. */
export interface OperatorConnection {
    readonly gateways: readonly Address[];
    readonly peerSecret: string;
}
