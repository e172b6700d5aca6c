import type { OutgoingStatement } from "../../statements/types/OutgoingStatement.js";

/** Statements that the proxy sends to an endpoint on its own behalf. */
export interface EndpointCommand {
    readonly endpointId: string;
    readonly statements: readonly OutgoingStatement[];
    readonly timeoutMilliseconds: number;
}
