import type { TRPCClient } from "@trpc/client";
import type { AnyTRPCRouter } from "@trpc/server";
import type { Address } from "../../network/types/Address.js";

/** Typed clients of other processes, one connection per address, opened on first use. */
export interface Peers {
    /** Returns the client of the process at the address; the type argument is the router of the called service. */
    clientOf<Router extends AnyTRPCRouter>(address: Address): TRPCClient<Router>;
    stop(): Promise<void>;
}
