import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import { z } from "zod";
import { callerSessionConstants } from "../../callerSessions/constants.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { memoryConstants } from "../../memory/constants.js";
import { quotaConstants } from "../../quotas/constants.js";
import type { VmSettings } from "../../vm/types/VmSettings.js";
import { parseAddress } from "../parseAddress/index.js";

const millisecondsPerSecond = 1_000;
/** Time within which a configuration has to be in force, for a file that does not tell. */
const defaultConfigurationMilliseconds = 4_000;

const {
    defaultMegabytes,
    leastMegabytes,
    mostMegabytes,
    defaultCallerShare,
    leastCallerShare,
    mostCallerShare,
    defaultConnectionBytes,
    leastConnectionBytes,
    mostConnectionBytes,
} = memoryConstants;

const { defaultWindowMilliseconds, defaultExcessShare, defaultExcessOperations } = quotaConstants;
/** Schema of the limits of callers that the file may leave out. */
const callerLimitsSchema = z.object({
    sessionBytes: z.number().int()
        .min(callerSessionConstants.leastSessionBytes)
        .max(callerSessionConstants.mostSessionBytes)
        .default(callerSessionConstants.defaultSessionBytes),
    answerBytes: z.number().int()
        .min(callerSessionConstants.leastAnswerBytes)
        .max(callerSessionConstants.mostAnswerBytes)
        .default(callerSessionConstants.defaultAnswerBytes),
    progressMs: z.number()
        .min(callerSessionConstants.leastProgressMilliseconds)
        .max(callerSessionConstants.mostProgressMilliseconds)
        .default(callerSessionConstants.defaultProgressMilliseconds),
});

/** Schema of the platform's settings file; other fields are ignored. */
const fileSchema = z.object({
    nodeName: z.string().min(1),
    zone: z.string(),
    region: z.string(),
    bootstrap: z.boolean().default(false),
    zones: z.record(z.string(), z.string()).default({}),
    listen: z.object({ front: z.string(), ready: z.string(), control: z.string() }),
    limits: z.object({
        cpuShare: z.number().positive(),
        cores: z.number().positive(),
        memoryMb: z.number().min(leastMegabytes).max(mostMegabytes).default(defaultMegabytes),
        maxFds: z.number().int()
            .min(callerSessionConstants.leastDescriptors)
            .max(callerSessionConstants.mostDescriptors)
            .default(callerSessionConstants.defaultDescriptors),
    }).default({
        cpuShare: 1,
        cores: 1,
        memoryMb: defaultMegabytes,
        maxFds: callerSessionConstants.defaultDescriptors,
    }),
    callerMemory: z.object({
        share: z.number().min(leastCallerShare).max(mostCallerShare).default(defaultCallerShare),
        connectionBytes: z.number().int().min(leastConnectionBytes).max(mostConnectionBytes).default(
            defaultConnectionBytes,
        ),
    }).default({ share: defaultCallerShare, connectionBytes: defaultConnectionBytes }),
    callerLimits: callerLimitsSchema.default(callerLimitsSchema.parse({})),
    bounds: z.object({
        graceS: z.number(),
        configApplyMs: z.number().positive().default(defaultConfigurationMilliseconds),
        quotaWindowS: z.number().positive().default(defaultWindowMilliseconds / millisecondsPerSecond),
        quotaOver: z.number().min(0).default(defaultExcessShare),
        quotaSlack: z.number().min(0).default(defaultExcessOperations),
    }),
    platform: z.object({ addr: z.string() }),
    cloudApi: z.object({ addr: z.string() }),
});
/**
 * Reads the platform's settings file.
 *
 * @param file Path of the file.
 * @returns The settings.
 * @throws TarragonpostError of kind `InvalidSettings` that lists the invalid fields.
 *
 * @example
 * const settings = readVmSettings("/etc/tarragonpost/node.toml");
 */
export function readVmSettings(file: string): VmSettings {
    try {
        return decodeSettings(parse(readFileSync(file, "utf8")));
    }
    catch (cause) {
        throw createError(ErrorKind.InvalidSettings, `${file}: ${describeCause(cause)}`, {
            remedy: "Correct the file; a running process keeps its present settings.",
            cause,
            details: { file },
        });
    }
}

function decodeSettings(content: unknown): VmSettings {
    const fields = fileSchema.parse(content);
    const addressOf = (text: string) => parseAddress(text, fields.zone);
    return {
        name: fields.nodeName,
        availabilityZone: fields.zone,
        region: fields.region,
        regionsByZone: fields.zones,
        isFirstStart: fields.bootstrap,
        callerAddress: addressOf(fields.listen.front),
        readinessAddress: addressOf(fields.listen.ready),
        peerAddress: addressOf(fields.listen.control),
        storeAddress: addressOf(fields.platform.addr),
        promotionAddress: addressOf(fields.cloudApi.addr),
        capacity: fields.limits.cpuShare * fields.limits.cores,
        memory: {
            megabytes: fields.limits.memoryMb,
            callerShare: fields.callerMemory.share,
            connectionBytes: fields.callerMemory.connectionBytes,
        },
        callerLimits: {
            maximumDescriptors: fields.limits.maxFds,
            sessionBytes: fields.callerLimits.sessionBytes,
            answerBytes: fields.callerLimits.answerBytes,
            progressMilliseconds: fields.callerLimits.progressMs,
        },
        configurationMilliseconds: fields.bounds.configApplyMs,
        graceMilliseconds: fields.bounds.graceS * millisecondsPerSecond,
        quotaExcess: {
            windowMilliseconds: fields.bounds.quotaWindowS * millisecondsPerSecond,
            share: fields.bounds.quotaOver,
            operations: fields.bounds.quotaSlack,
        },
    };
}

function describeCause(cause: unknown): string {
    if (cause instanceof z.ZodError) {
        return cause.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; ");
    }
    return (cause as Error).message;
}
