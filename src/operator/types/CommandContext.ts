import type { TRPCClient } from "@trpc/client";
import type { Clock } from "../../clock/types/Clock.js";
import type { ProcessControl } from "../../commandLine/types/ProcessControl.js";
import type { Address } from "../../network/types/Address.js";
import type { OperatorRouter } from "./OperatorRouter.js";

/** Output, clock and gateway clients of a running operator command. */
export interface CommandContext {
    readonly control: ProcessControl;
    readonly clock: Clock;
    clientOf(address: Address): TRPCClient<OperatorRouter>;
    /** Calls the gateways one after another until one is reachable, and returns its answer. */
    callAnyGateway<T>(call: (client: TRPCClient<OperatorRouter>) => Promise<T>): Promise<T>;
    stop(): Promise<void>;
}
