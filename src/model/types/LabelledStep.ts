/** One step of a model and the state that it leads to. */
export interface LabelledStep<State> {
    /** Name of the step, for example `order`. */
    readonly name: string;
    readonly state: State;
}
