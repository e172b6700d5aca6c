import type { ModelState } from "./ModelState.js";

/** One step of the model and the state that it leads to. */
export interface ModelStep {
    /** Name of the step, for example `fence 2 0`: the coordinator of term 2 fences endpoint 0. */
    readonly name: string;
    readonly state: ModelState;
}
