import type { CallerCommand } from "./CallerCommand.js";

/** A command with the time at which it was received. */
export interface ReceivedCommand {
    readonly command: CallerCommand;
    readonly receivedAt: number;
    /** Size of the command as it was sent. */
    readonly bytes: number;
}
