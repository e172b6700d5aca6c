import type { Address } from "../../network/types/Address.js";
import type { EndpointConnection } from "./EndpointConnection.js";

/** Opens connections to endpoints and hides their wire format. */
export interface EndpointDriver {
    /**
     * Opens a connection.
     *
     * Fails with `ConnectionLimitReached`, `Unreachable` or `DeadlineExceeded`.
     */
    connect(endpoint: string, address: Address, timeoutMilliseconds: number): Promise<EndpointConnection>;
}
