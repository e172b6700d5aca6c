import type { OutgoingStatement } from "../../statements/types/OutgoingStatement.js";

/** Statements of the proxy itself, to be sent to an endpoint. */
export interface EndpointCommand {
    readonly endpointId: string;
    readonly statements: readonly OutgoingStatement[];
    readonly timeoutMilliseconds: number;
}
