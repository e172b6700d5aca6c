import type { TRPCClient } from "@trpc/client";
import type { Clock } from "../../clock/types/Clock.js";
import type { ProcessControl } from "../../commandLine/types/ProcessControl.js";
import type { Address } from "../../network/types/Address.js";
import type { OperatorRouter } from "./OperatorRouter.js";

/** What a command of the operator's program works with. */
export interface OperatorSession {
    readonly control: ProcessControl;
    readonly clock: Clock;
    clientOf(address: Address): TRPCClient<OperatorRouter>;
    /** Calls the gateways one after another until one can be reached, and returns its answer. */
    askAny<T>(call: (client: TRPCClient<OperatorRouter>) => Promise<T>): Promise<T>;
    stop(): Promise<void>;
}
