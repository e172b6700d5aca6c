import { z } from "zod";

/**
 * Schema of the host and port that a process listens on.
 *
 * @example
 * listenSchema.parse({ host: "127.0.0.1", port: 7100 });
 */
export const listenSchema = z.strictObject({ host: z.string(), port: z.number().int().min(0).max(65_535) });
