import type { EndpointCommand } from "../../duty/types/EndpointCommand.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";

/** Sends statements of the proxy itself to endpoints, apart from callers' connections. */
export interface EndpointControl {
    /** Sends from this VM. Fails when the endpoint does not answer in time. */
    run(command: EndpointCommand): Promise<readonly StatementAnswer[]>;
    /** Sends from this VM, and from others when that fails. Fails when none is answered. */
    runFromAnywhere(command: EndpointCommand): Promise<readonly StatementAnswer[]>;
}
