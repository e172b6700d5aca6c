/** Whether a statement may be retried after an attempt. */
export enum AttemptKind {
    Final = "Final",
    Retryable = "Retryable",
}
