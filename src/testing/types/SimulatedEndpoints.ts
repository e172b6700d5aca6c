import type { OutgoingStatement } from "../../statements/types/OutgoingStatement.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import type { SimulatedEndpoint } from "./SimulatedEndpoint.js";

/** The groups of endpoints of a simulation. */
export interface SimulatedEndpoints {
    readonly ids: readonly string[];
    get(id: string): SimulatedEndpoint;
    /** Id of the endpoint whose promotion took effect last. */
    leaderOf(group: string): string;
    /** Whether the endpoint leads its group and has not stepped down. */
    isPresentPrimary(id: string): boolean;
    /** Executes statements at an endpoint, outside any earlier transaction. */
    run(id: string, statements: readonly OutgoingStatement[]): readonly StatementAnswer[];
    /** Lets an order to promote take effect. */
    promote(id: string): void;
    crash(id: string): void;
    /** Drops the log of a crashed endpoint, which then is no primary any more. */
    reset(id: string): void;
    /** Starts a crashed endpoint again, with its log. */
    recover(id: string): void;
}
