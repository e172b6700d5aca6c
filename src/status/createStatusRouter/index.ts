import { z } from "zod";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { trpc } from "../../transport/trpc/index.js";
import { statusReportSchema } from "../statusReportSchema/index.js";
import type { StatusBoard } from "../types/StatusBoard.js";

/**
 * Creates the tRPC router by which operators read the status, entries push theirs, and a process is asked to stop.
 *
 * @param board The status of this process and of the entries that report to it.
 * @returns A router with the procedures under `status`.
 *
 * @example
 * const router = trpc.mergeRouters(createStatusRouter(board), otherRouter);
 */
export function createStatusRouter(board: StatusBoard) {
    return trpc.router({
        status: trpc.router({
            get: trpc.procedure.query(() => ({ own: board.report(), entries: board.entries() })),
            push: trpc.procedure.input(statusReportSchema).mutation(({ input, ctx }) => ({
                isDraining: board.noteEntry({ ...input, process: ctx.peerName }),
            })),
            drain: trpc.procedure.input(z.strictObject({ process: z.string() })).mutation(({ input }) => {
                if (!board.drain(input.process)) {
                    throw createError(ErrorKind.NotFound, `Process ${input.process} does not report here.`, {
                        remedy: "Ask the gateway on the same VM, or take the name from `tarragonpost status`.",
                    });
                }
            }),
        }),
    });
}
