import type { CallFault } from "./CallFault.js";
import type { SimulatedCall } from "./SimulatedCall.js";

/** Selects the fault of a call; undefined when the rule does not affect it. */
type CallRule = (call: SimulatedCall) => CallFault | undefined;

/** The links between the participants of a simulation. */
export interface SimulatedNetwork {
    /**
     * Delivers a call and resolves with its result. Fails with the error of the execution, or with `DeadlineExceeded`
     * when no answer arrives in time; the call may then still be executed later.
     */
    send<Result>(call: SimulatedCall, execute: () => Result | Promise<Result>): Promise<Result>;
    /** Cuts the link from one participant to another. */
    cutOneWay(from: string, to: string): void;
    /** Cuts the link between two participants in both directions. */
    cut(left: string, right: string): void;
    /** Restores the link between two participants in both directions. */
    restore(left: string, right: string): void;
    /** Restores all links. */
    restoreAll(): void;
    /** Whether both directions of the link work. */
    isConnected(left: string, right: string): boolean;
    /** Adds a rule for the faults of calls; returns the function that removes it. */
    addRule(rule: CallRule): () => void;
}
