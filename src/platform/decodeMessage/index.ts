import { FailureCode } from "../../statements/types/FailureCode.js";
import type { SessionState } from "../../statements/types/SessionState.js";
import { failureKeywords } from "../failureKeywords.js";
import { parsePosition } from "../parsePosition/index.js";
import { sessionStateLetters } from "../sessionStateLetters.js";
import { splitFields } from "../splitFields/index.js";
import type { WireMessage } from "../types/WireMessage.js";
import { WireMessageKind } from "../types/WireMessageKind.js";

const failuresByWord = new Map(
    Object.entries(failureKeywords).map(([code, word]) => [word, code as FailureCode]),
);
const statesByWord = new Map(
    Object.entries(sessionStateLetters).map(([state, word]) => [word, state as SessionState]),
);

/** Decodes the fields after a message's keyword; returns undefined when they are invalid. */
type FieldDecoder = (fields: string) => WireMessage | undefined;

const decoders: Readonly<Record<string, FieldDecoder>> = {
    STARTUP: decodeStartup,
    QUERY: decodeQuery,
    ROW: text => ({ kind: WireMessageKind.Row, text }),
    COMPLETE: signature => ({ kind: WireMessageKind.Complete, signature }),
    ERROR: decodeError,
    READY: decodeReady,
    TERM: () => ({ kind: WireMessageKind.Terminate }),
};

/**
 * Decodes one line of the wire protocol.
 *
 * @param line The line, without its CR LF.
 * @returns The message; of kind `Unreadable` when the line is not a valid message.
 *
 * @example
 * decodeMessage("QUERY 7 READ 1a4"); // => { kind: WireMessageKind.Query, id: "7", text: "READ 1a4" }
 */
export function decodeMessage(line: string): WireMessage {
    const [word, fields = ""] = splitFields(line, 2) as [string, string?];
    const decode = Object.hasOwn(decoders, word) ? decoders[word] : undefined;
    return decode?.(fields) ?? { kind: WireMessageKind.Unreadable, line };
}

function decodeStartup(fields: string): WireMessage | undefined {
    const [database, user] = splitFields(fields, 2);
    return database === "" || database === undefined
        ? undefined
        : { kind: WireMessageKind.Startup, database, user: user ?? "" };
}

function decodeQuery(fields: string): WireMessage | undefined {
    const [id, text] = splitFields(fields, 2);
    return id === undefined || id === "" || text === undefined
        ? undefined
        : { kind: WireMessageKind.Query, id, text };
}

function decodeError(fields: string): WireMessage {
    const [word = "", description = ""] = splitFields(fields, 2);
    const code = failuresByWord.get(word);
    return {
        kind: WireMessageKind.Error,
        failure: code === undefined
            ? { code: FailureCode.Failed, description: fields }
            : { code, description },
    };
}

function decodeReady(fields: string): WireMessage | undefined {
    const [word = "", position = ""] = splitFields(fields, 2);
    const state = statesByWord.get(word);
    return state === undefined
        ? undefined
        : { kind: WireMessageKind.Ready, state, position: parsePosition(position) };
}
