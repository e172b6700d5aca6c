import { EventEmitter, on } from "node:events";
import { z } from "zod";
import { trpc } from "../../transport/trpc/index.js";
import { eventConstants } from "../constants.js";
import { matchesFilter } from "../matchesFilter/index.js";
import { timelineEventSchema } from "../timelineEventSchema/index.js";
import type { EventArchive } from "../types/EventArchive.js";
import type { TimelineEvent } from "../types/TimelineEvent.js";

const filter = z.strictObject({
    requestId: z.string().optional(),
    database: z.string().optional(),
    version: z.number().optional(),
});
const pushInput = z.strictObject({
    afterSequence: z.number().int().min(0),
    events: z.array(timelineEventSchema).max(eventConstants.maximumPushedEvents),
});

/**
 * Creates the tRPC router for reading a gateway's part of the time line, and for the events that entries push.
 *
 * @param archive The events of the gateway and of the entries that push their events to it.
 * @returns A router with the procedures under `events`.
 *
 * @example
 * const router = trpc.mergeRouters(createEventsRouter(archive), otherRouter);
 */
export function createEventsRouter(archive: EventArchive) {
    return trpc.router({
        events: trpc.router({
            list: trpc.procedure.input(filter).query(({ input }) => archive.list(input)),
            follow: trpc.procedure.input(filter).subscription(async function*({ input, signal }) {
                const emitter = new EventEmitter();
                const stopListening = archive.onEvent(event => void emitter.emit("event", event));
                try {
                    for await (const [event] of on(emitter, "event", { signal })) {
                        if (matchesFilter(event as TimelineEvent, input)) {
                            yield event as TimelineEvent;
                        }
                    }
                }
                finally {
                    stopListening();
                }
            }),
            push: trpc.procedure.input(pushInput).mutation(({ input, ctx }) => {
                const events = input.events.filter(event => event.process === ctx.peerName);
                return { newestSequence: archive.recordPushed(ctx.peerName, input.afterSequence, events) };
            }),
        }),
    });
}
