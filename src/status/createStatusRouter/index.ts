import { z } from "zod";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { trpc } from "../../transport/trpc/index.js";
import { statusReportSchema } from "../statusReportSchema/index.js";
import type { StatusRegistry } from "../types/StatusRegistry.js";

/**
 * Creates the tRPC router for reading the status, for the reports that entries push, and for draining a process.
 *
 * @param registry Status of this process and of the entries that report to it.
 * @returns A router with the procedures under `status`.
 *
 * @example
 * const router = trpc.mergeRouters(createStatusRouter(registry), otherRouter);
 */
export function createStatusRouter(registry: StatusRegistry) {
    return trpc.router({
        status: trpc.router({
            get: trpc.procedure.query(() => ({ own: registry.createReport(), entries: registry.listEntryReports() })),
            push: trpc.procedure.input(statusReportSchema).mutation(({ input, ctx }) => ({
                isDraining: registry.recordEntryReport({ ...input, process: ctx.peerName }),
            })),
            drain: trpc.procedure.input(z.strictObject({ process: z.string() })).mutation(({ input }) => {
                if (!registry.drain(input.process)) {
                    throw createError(ErrorKind.NotFound, `Process ${input.process} does not report to this gateway.`, {
                        remedy:
                            "Send the request to the gateway on the same VM, or take the name from `tarragonpost status`.",
                    });
                }
            }),
        }),
    });
}
