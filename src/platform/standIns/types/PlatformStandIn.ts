import type { Route } from "../../../directory/types/Route.js";
import type { EndpointStandIn } from "./EndpointStandIn.js";
import type { ExecutedStatement } from "./ExecutedStatement.js";
import type { LogEntry } from "./LogEntry.js";
import type { PromotionOrder } from "./PromotionOrder.js";
import type { StoreStandIn } from "./StoreStandIn.js";

/** The platform for tests, with what a test may see and change. */
export interface PlatformStandIn {
    readonly store: StoreStandIn;
    readonly endpoints: readonly EndpointStandIn[];
    /** The callers' statements that endpoints ran, in order. */
    readonly executed: readonly ExecutedStatement[];
    readonly orders: readonly PromotionOrder[];
    readonly promotionPort: number;
    /** Writes a configuration as the operator does. */
    configure(version: number, routes: readonly Route[]): void;
    /** Lets an endpoint report that it is about to stop. */
    leave(endpoint: EndpointStandIn): void;
    /** Writes an endpoint's record anew. */
    register(endpoint: EndpointStandIn): void;
    /** Removes an endpoint's record, as after a silence. */
    unregister(endpoint: EndpointStandIn): void;
    /** Ends an endpoint's isolation: it hears of the others again and follows the present primary. */
    rejoin(endpoint: EndpointStandIn): void;
    /** The primary of the highest term. */
    findPrimary(): EndpointStandIn | undefined;
    /** Commits that endpoints dropped because a promotion had superseded them. */
    readonly dropped: readonly LogEntry[];
    stop(): void;
}
