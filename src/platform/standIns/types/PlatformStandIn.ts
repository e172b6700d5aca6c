import type { Route } from "../../../directory/types/Route.js";
import type { EndpointStandIn } from "./EndpointStandIn.js";
import type { ExecutedStatement } from "./ExecutedStatement.js";
import type { LogEntry } from "./LogEntry.js";
import type { PromotionOrder } from "./PromotionOrder.js";
import type { StandInWorkspace } from "./StandInWorkspace.js";
import type { StoreStandIn } from "./StoreStandIn.js";

/** The platform for tests: its state, and functions that change the state. */
export interface PlatformStandIn {
    readonly store: StoreStandIn;
    readonly endpoints: readonly EndpointStandIn[];
    /** Callers' statements that the endpoints executed, in order. */
    readonly executedStatements: readonly ExecutedStatement[];
    readonly promotionOrders: readonly PromotionOrder[];
    readonly promotionPort: number;
    /** Writes a configuration as the operator does. */
    configure(version: number, routes: readonly Route[], workspaces?: readonly StandInWorkspace[]): void;
    /** Registers an endpoint as leaving. */
    announceLeaving(endpoint: EndpointStandIn): void;
    /** Writes an endpoint's record. */
    register(endpoint: EndpointStandIn): void;
    /** Removes an endpoint's record, as the platform does with an unresponsive endpoint. */
    unregister(endpoint: EndpointStandIn): void;
    /** Registers an endpoint of another group that nobody can reach. */
    registerUnused(id: string, slots: number): void;
    /**
     * Restores the store from a copy of this age. The operator and the endpoints write again what is missing, about a second
     * later; the VMs' own records stay lost.
     */
    restoreStore(ageMilliseconds: number): void;
    /** Ends an endpoint's isolation; endpoints that are not isolated then follow the current primary. */
    rejoin(endpoint: EndpointStandIn): void;
    /** Returns the primary with the highest term. */
    findPrimary(): EndpointStandIn | undefined;
    /** Commits that endpoints discarded because a promotion had superseded them. */
    readonly discardedEntries: readonly LogEntry[];
    stop(): void;
}
