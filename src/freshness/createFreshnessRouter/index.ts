import { z } from "zod";
import { trpc } from "../../transport/trpc/index.js";
import type { PositionReader } from "../types/PositionReader.js";

const positionRequestSchema = z.object({
    database: z.string().min(1),
    term: z.int().positive(),
    timeLeftMilliseconds: z.number().positive(),
});

/**
 * Creates the procedure with which entries request a current position.
 *
 * @param reader The gateway's position reader.
 * @returns A router that mounts `freshness.readPosition`.
 *
 * @example
 * const router = createFreshnessRouter(reader);
 */
export function createFreshnessRouter(reader: PositionReader) {
    return trpc.router({
        freshness: trpc.router({
            readPosition: trpc.procedure
                .input(positionRequestSchema)
                .query(({ input }) => reader.readPosition(input)),
        }),
    });
}
