/** Whether an attempt of a statement settles it. */
export enum AttemptKind {
    Final = "Final",
    Repeatable = "Repeatable",
}
