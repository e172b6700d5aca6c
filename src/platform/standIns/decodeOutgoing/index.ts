import { AccessMode } from "../../../statements/types/AccessMode.js";
import type { LogPosition } from "../../../statements/types/LogPosition.js";
import { OutgoingKind } from "../../../statements/types/OutgoingKind.js";
import type { OutgoingStatement } from "../../../statements/types/OutgoingStatement.js";
import { StatementKind } from "../../../statements/types/StatementKind.js";
import { decodeStatement } from "../../decodeStatement/index.js";
import { parsePosition } from "../../parsePosition/index.js";
import { splitWords } from "../../splitWords/index.js";

/** Decodes a statement of the proxy itself, given what follows its first word. */
type OwnDecoder = (fields: string, leastPosition: LogPosition | undefined) => OutgoingStatement;

const ownDecoders: Readonly<Record<string, OwnDecoder>> = {
    BEGIN: (fields, leastPosition) => ({ kind: OutgoingKind.Begin, isReadOnly: fields === "READ", leastPosition }),
    ROLLBACK: () => ({ kind: OutgoingKind.Rollback }),
    DISCARD: () => ({ kind: OutgoingKind.Discard }),
    STATUS: () => ({ kind: OutgoingKind.ReadStatus }),
    SET: fields => {
        const [name = "", value = ""] = splitWords(fields, 2);
        return { kind: OutgoingKind.SetValue, name, value };
    },
    PARSE: fields => {
        const [name = "", mode, shape = ""] = splitWords(fields, 3);
        return {
            kind: OutgoingKind.Prepare,
            name,
            mode: mode === "WRITE" ? AccessMode.Write : AccessMode.Read,
            shape,
        };
    },
    PAUSE: term => ({ kind: OutgoingKind.PauseReplication, term: Number(term) }),
    RESUME: () => ({ kind: OutgoingKind.ResumeReplication }),
    STEPDOWN: term => ({ kind: OutgoingKind.StepDown, term: Number(term) }),
};

/**
 * Decodes a statement as an endpoint receives it; the reverse of encoding it.
 *
 * @param id Id of the statement.
 * @param line Its text, with the position that is asked for in front.
 * @returns The statement; undefined when the text is none.
 *
 * @example
 * decodeOutgoing("-", "STEPDOWN 4"); // => { kind: OutgoingKind.StepDown, term: 4 }
 */
export function decodeOutgoing(id: string, line: string): OutgoingStatement | undefined {
    const [first, positionText = "", rest = ""] = splitWords(line, 3);
    const isPrefixed = first === "AFTERLSN";
    const leastPosition = isPrefixed ? parsePosition(positionText) : undefined;
    const text = isPrefixed ? rest : line;
    if (id === "-") {
        const [word = "", fields = ""] = splitWords(text, 2);
        return ownDecoders[word]?.(fields, leastPosition);
    }
    const statement = decodeStatement(text);
    if (statement.kind === StatementKind.Unreadable) {
        return undefined;
    }
    return statement.kind === StatementKind.Execute
        ? {
            kind: OutgoingKind.ForwardedExecution,
            id,
            name: statement.name,
            remainder: statement.remainder,
            leastPosition,
        }
        : { kind: OutgoingKind.Forwarded, id, text, leastPosition };
}
