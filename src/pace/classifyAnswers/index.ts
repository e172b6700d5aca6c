import { FailureCode } from "../../statements/types/FailureCode.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { OutgoingStatement } from "../../statements/types/OutgoingStatement.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import { StatementEnd } from "../types/StatementEnd.js";

const endByCode: Partial<Record<FailureCode, StatementEnd>> = {
    [FailureCode.Busy]: StatementEnd.Refused,
    [FailureCode.ConnectionLimit]: StatementEnd.Refused,
    [FailureCode.Failed]: StatementEnd.Failed,
};
const callerKinds: ReadonlySet<OutgoingKind> = new Set([OutgoingKind.Forwarded, OutgoingKind.ForwardedExecution]);

/**
 * Classifies the answers to one exchange as evidence about the endpoint; only those to a caller's statement are any.
 *
 * @param statements The statements of the exchange, the caller's as the last.
 * @param answers The answers.
 * @returns How the caller's statement ended; undefined if the exchange had none.
 *
 * @example
 * classifyAnswers([{ kind: OutgoingKind.Rollback }], [answer]); // => undefined
 */
export function classifyAnswers(
    statements: readonly OutgoingStatement[],
    answers: readonly StatementAnswer[],
): StatementEnd | undefined {
    const answer = answers.at(-1);
    if (answer === undefined || !callerKinds.has(statements.at(-1)!.kind)) {
        return undefined;
    }
    return answer.failure === undefined
        ? StatementEnd.Answered
        : endByCode[answer.failure.code] ?? StatementEnd.Neutral;
}
