import type { CallerCommand } from "./CallerCommand.js";
import type { CallerCommandKind } from "./CallerCommandKind.js";

/** A command that runs a statement. */
export type RunCommand = Extract<CallerCommand, { readonly kind: CallerCommandKind.Run; }>;
