import { failureKeywords } from "../failureKeywords.js";
import { formatPosition } from "../formatPosition/index.js";
import { sessionStateLetters } from "../sessionStateLetters.js";
import type { WireMessage } from "../types/WireMessage.js";
import { WireMessageKind } from "../types/WireMessageKind.js";

const lineBreaks = /[\r\n]+/g;

/** Encodes one kind of message as a line without its CR LF. */
type MessageEncoder<Kind extends WireMessageKind> = (
    message: Extract<WireMessage, { readonly kind: Kind; }>,
) => string;

const encoders: { readonly [Kind in WireMessageKind]: MessageEncoder<Kind>; } = {
    [WireMessageKind.Startup]: ({ database, user }) => `STARTUP ${database} ${user}`,
    [WireMessageKind.Query]: ({ id, text }) => `QUERY ${id} ${text}`,
    [WireMessageKind.Row]: ({ text }) => `ROW ${text}`,
    [WireMessageKind.Complete]: ({ signature }) => `COMPLETE ${signature}`,
    [WireMessageKind.Error]: ({ failure }) =>
        `ERROR ${failureKeywords[failure.code]} ${failure.description.replaceAll(lineBreaks, " ")}`,
    [WireMessageKind.Ready]: ({ state, position }) =>
        `READY ${sessionStateLetters[state]} ${position === undefined ? "-" : formatPosition(position)}`,
    [WireMessageKind.Terminate]: () => "TERM",
    [WireMessageKind.Unreadable]: ({ line }) => line,
};

/**
 * Encodes a message of the wire protocol as a line.
 *
 * @param message The message.
 * @returns The line with its CR LF.
 *
 * @example
 * encodeMessage({ kind: WireMessageKind.Terminate }); // => "TERM\r\n"
 */
export function encodeMessage(message: WireMessage): string {
    const encode = encoders[message.kind] as MessageEncoder<WireMessageKind>;
    return `${encode(message)}\r\n`;
}
