import { initTRPC } from "@trpc/server";
import type { PeerContext } from "../types/PeerContext.js";

/**
 * The tRPC root with which every service builds its router.
 *
 * @example
 * const eventsRouter = trpc.router({ events: trpc.router({ list: trpc.procedure.query(() => []) }) });
 */
export const trpc = initTRPC.context<PeerContext>().create();
