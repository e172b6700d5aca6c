import { initTRPC } from "@trpc/server";
import type { PeerContext } from "../types/PeerContext.js";

/**
 * The tRPC instance from which every service creates its router.
 *
 * @example
 * const eventsRouter = trpc.router({ events: trpc.router({ list: trpc.procedure.query(() => []) }) });
 */
export const trpc = initTRPC.context<PeerContext>().create();
