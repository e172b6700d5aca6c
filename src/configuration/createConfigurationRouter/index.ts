import jsonMergePatch from "json-merge-patch";
import { z } from "zod";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { trpc } from "../../transport/trpc/index.js";
import { completeConfiguration } from "../completeConfiguration/index.js";
import { configurationConstants } from "../constants.js";
import { listUpdates } from "../listUpdates/index.js";
import { splitText } from "../splitText/index.js";
import { streamUpdates } from "../streamUpdates/index.js";
import { summarizeRecord } from "../summarizeRecord/index.js";
import type { GatewayConfiguration } from "../types/GatewayConfiguration.js";

const version = z.number().int().min(0);
const patchInput = z.strictObject({
    against: version,
    patchText: z.string(),
    patchId: z.string().regex(/^[\w.:-]{1,64}$/, "expected 1 to 64 letters, digits, dots, colons or hyphens"),
});

/**
 * Creates the tRPC router through which peers, entries and operators read and patch the configuration at a gateway.
 *
 * @param configuration The configuration service of the gateway.
 * @returns The router, with its procedures under `configuration`.
 *
 * @example
 * const router = trpc.mergeRouters(createConfigurationRouter(configuration), otherRouter);
 */
export function createConfigurationRouter(configuration: GatewayConfiguration) {
    const { state } = configuration;

    function checkLoaded(): void {
        if (!configuration.status().isLoaded) {
            throw createError(ErrorKind.NotFound, "This gateway has not loaded a configuration yet.", {
                remedy: "Query another gateway, or wait until this gateway can reach a peer or the platform.",
            });
        }
    }

    function* splitJson(value: unknown): Generator<string> {
        yield* splitText(JSON.stringify(value, undefined, 4), configurationConstants.snapshotPartCharacters);
    }

    return trpc.router({
        configuration: trpc.router({
            get: trpc.procedure.input(z.strictObject({ version: version.optional() })).subscription(
                async function*({ input }) {
                    checkLoaded();
                    const requestedVersion = input.version ?? state.current().version;
                    const document = await configuration.readDocument(requestedVersion);
                    yield* splitJson({ version: requestedVersion, content: completeConfiguration(document) });
                },
            ),
            diff: trpc.procedure.input(z.strictObject({ from: version, to: version })).subscription(
                async function*({ input }) {
                    checkLoaded();
                    const before = await configuration.readDocument(input.from);
                    const after = await configuration.readDocument(input.to);
                    yield* splitJson(jsonMergePatch.generate(before, after) ?? {});
                },
            ),
            history: trpc.procedure.input(z.strictObject({ before: version.optional() })).query(async ({ input }) => {
                checkLoaded();
                const last = Math.min(
                    input.before === undefined ? Infinity : input.before - 1,
                    state.current().version,
                );
                const first = Math.max(1, last - configurationConstants.historyLength + 1);
                return (await configuration.readRecords(first, last)).map(summarizeRecord).reverse();
            }),
            patch: trpc.procedure.input(patchInput).mutation(({ input, ctx }) => {
                checkLoaded();
                return configuration.submitPatch({ ...input, author: ctx.peerName });
            }),
            status: trpc.procedure.query(() => configuration.status()),
            updates: trpc.procedure.input(z.strictObject({ version: z.number().int() })).subscription(
                async function*({ input }) {
                    checkLoaded();
                    yield* listUpdates(state, input.version);
                },
            ),
            watch: trpc.procedure.input(z.strictObject({ version })).subscription(
                async function*({ input, ctx, signal }) {
                    checkLoaded();
                    const detach = configuration.attachEntry(ctx.peerName, input.version);
                    try {
                        yield* streamUpdates(state, input.version, signal ?? new AbortController().signal);
                    }
                    finally {
                        detach();
                    }
                },
            ),
            report: trpc.procedure.input(z.strictObject({ version })).mutation(({ input, ctx }) => {
                configuration.recordEntryVersion(ctx.peerName, input.version);
            }),
        }),
    });
}
