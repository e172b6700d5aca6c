import { z } from "zod";
import { EventKind } from "../types/EventKind.js";
import type { TimelineEvent } from "../types/TimelineEvent.js";

/**
 * Schema of an event received from another process.
 *
 * @example
 * const events = z.array(timelineEventSchema).parse(input);
 */
export const timelineEventSchema = z.object({
    timestamp: z.object({ wallMilliseconds: z.number(), counter: z.number() }),
    process: z.string(),
    sequence: z.number().int().min(1),
    kind: z.enum(EventKind),
    database: z.string().optional(),
    endpoint: z.string().optional(),
    requestId: z.string().optional(),
    term: z.number().optional(),
    version: z.number().optional(),
    text: z.string(),
}) satisfies z.ZodType<TimelineEvent>;
