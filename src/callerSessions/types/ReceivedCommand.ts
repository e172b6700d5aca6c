import type { CallerCommand } from "./CallerCommand.js";

/** A command with the time at which it was received. */
export interface ReceivedCommand {
    readonly command: CallerCommand;
    readonly receivedAt: number;
}
