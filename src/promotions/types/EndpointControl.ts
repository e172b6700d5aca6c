import type { EndpointCommand } from "../../duty/types/EndpointCommand.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";

/** Sends statements of the proxy itself to endpoints, outside callers' sessions. */
export interface EndpointControl {
    /** Sends a command from this VM. Fails when the endpoint does not answer in time. */
    run(command: EndpointCommand): Promise<readonly StatementAnswer[]>;
    /** Sends a command from this VM, and from other VMs when that fails. Fails when no VM gets an answer. */
    runFromAnyVm(command: EndpointCommand): Promise<readonly StatementAnswer[]>;
}
